package requester

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// continueTimeout is how long a request with "Expect: 100-continue" waits for
	// the 100 response before it sends its body.
	continueTimeout = time.Second
	// maxResponses limits the responses read in one exchange: informational and
	// discarded ones, and the final one.
	maxResponses = 16
)

// exchange is one request and its response on one connection.
type exchange struct {
	ctx  context.Context
	conn *connection
	req  *http.Request
	cfg  *Config
	r    *bufio.Reader
	// sawMismatch is true once a response that belongs to another request was received.
	sawMismatch bool
	// stop keeps the end of ctx from closing the connection. It returns false if ctx
	// ended or stop was called before.
	stop func() bool
	// body is the body of a streamed request, or nil.
	body *requestBody
	// sender writes a streamed request while the response is read. It is nil if the
	// request is not streamed.
	sender *tomb.Tomb
	// runsWithBody is Limits.RunsWithBody, for a request that expects a 100 response.
	runsWithBody bool
}

func newExchange(ctx context.Context, c *connection, req *http.Request, cfg *Config) *exchange {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(c)
	return &exchange{ctx: ctx, conn: c, req: req, cfg: cfg, r: r, stop: context.AfterFunc(ctx, c.close)}
}

// run sends the request and receives the head of the response.
func (e *exchange) run() (*http.Response, error) {
	sendErr := e.send()
	if sendErr != nil && !e.conn.sent.Load() {
		return nil, e.fail(classifier.ReasonSend, sendErr)
	}
	// A response may have arrived even if the send failed: the server may refuse a
	// request before it has read all of it.
	resp, err := e.receive()
	if err == nil {
		return e.deliver(resp)
	}
	reason := receiveFailureReason(e.conn)
	if reason == classifier.ReasonReset && (sendErr != nil || !e.fullySent()) {
		reason = e.sendFailureReason()
	}
	return nil, e.fail(reason, err)
}

// send writes the request, or starts writing it if its body is streamed.
func (e *exchange) send() error {
	if !hasBody(e.req) || buffered(e.req.Body) && !expectsContinue(e.req) {
		return e.write(e.req)
	}
	req := *e.req
	e.body = newRequestBody(e.req)
	if e.runsWithBody {
		e.body.continueTimeout = 0
	}
	req.Body = e.body
	e.sender = &tomb.Tomb{}
	e.sender.Go(func() error { return e.write(&req) })
	return nil
}

// write writes the head and the body of req. A streamed body flushes the buffer while
// it is read.
func (e *exchange) write(req *http.Request) error {
	buf := writerPool.Get().(*bufio.Writer)
	buf.Reset(e.conn)
	defer func() {
		buf.Reset(nil)
		writerPool.Put(buf)
	}()
	var w io.Writer = buf
	if hasBody(req) {
		w = &opaqueWriter{buf: buf} // Otherwise net/http flushes the head before the body.
	}
	if e.body != nil {
		e.body.flush = buf.Flush
	}
	err := req.Write(w)
	if err == nil {
		err = buf.Flush()
	}
	if timedOut(e.conn.writeErr) {
		e.conn.close() // The server has stopped reading: no response will come either.
	}
	return errors.Wrap(err, "write request")
}

// receive reads responses up to the final one to this request and returns that one.
func (e *exchange) receive() (*http.Response, error) {
	for range maxResponses {
		resp, err := http.ReadResponse(e.r, e.req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if e.cfg.EchoHeader != "" && containsHead(resp) {
			return nil, errTwoHeads
		}
		if resp.StatusCode >= http.StatusOK && e.mismatched(resp) {
			e.discard(resp)
			continue
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if err := e.conn.endsReported(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue && e.body != nil {
			if err := e.conn.restartReceive(); err != nil {
				return nil, err
			}
			e.body.signalContinue()
		}
	}
	return nil, errHeadTooLarge
}

// deliver returns the response to the caller, with a body that finishes the exchange
// at its end. It fails if the end of the body cannot be detected.
func (e *exchange) deliver(resp *http.Response) (*http.Response, error) {
	e.conn.headLimit = 0
	closeDelimited := resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if closeDelimited && !e.cfg.AllowCloseDelimited {
		return nil, e.fail(classifier.ReasonMalformed, errNoFraming)
	}
	if resp.Body == http.NoBody {
		e.finish(resp)
		return resp, nil
	}
	resp.Body = &responseBody{exchange: e, resp: resp, src: resp.Body, closeDelimited: closeDelimited}
	return resp, nil
}

// finish ends a complete exchange. It returns the connection to the pool if it can
// be reused.
func (e *exchange) finish(resp *http.Response) {
	notCanceled := e.stop()
	reusable := notCanceled && !e.sawMismatch && !resp.Close && !e.req.Close && e.r.Buffered() == 0 && e.fullySent()
	e.releaseReader()
	if reusable && e.conn.clearDeadlines() {
		e.conn.limitIdleTime(resp.Header)
		e.conn.hostPool.putIdle(e.conn)
		return
	}
	e.abandon()
}

// abandon closes the connection, which also ends a sender that is still writing.
func (e *exchange) abandon() {
	e.stop()
	e.conn.close()
	if e.body != nil {
		e.body.abort()
	}
	e.releaseReader()
}

// fail ends the exchange and returns its error. It closes the connection before it
// checks whether anything was sent, so that nothing can be sent after it has
// reported not-run.
func (e *exchange) fail(reason classifier.Reason, cause error) *Error {
	e.abandon()
	outcome := classifier.Unknown
	if !e.conn.sent.Load() || e.runsWithBody && e.body != nil && !e.body.begun() {
		outcome = classifier.NotRun
	}
	return NewError(outcome, contextReason(e.ctx, outcome, reason), cause)
}

// releaseReader returns the read buffer to its pool. Further calls do nothing.
func (e *exchange) releaseReader() {
	if e.r == nil {
		return
	}
	e.r.Reset(nil)
	readerPool.Put(e.r)
	e.r = nil
}

// fullySent reports whether the whole request was written without an error.
func (e *exchange) fullySent() bool {
	return e.sender == nil || (!e.sender.Alive() && e.sender.Err() == nil)
}

// sendFailureReason returns why a request could not be fully sent.
func (e *exchange) sendFailureReason() classifier.Reason {
	if e.body != nil && e.body.readFailed.Load() {
		return classifier.ReasonCanceled
	}
	return classifier.ReasonSend
}

// receiveFailureReason returns why reading a response failed. Without a read error
// the response itself was invalid.
func receiveFailureReason(c *connection) classifier.Reason {
	switch {
	case c.readErr == nil:
		return classifier.ReasonMalformed
	case timedOut(c.readErr):
		return classifier.ReasonStalled
	case c.received > 0:
		return classifier.ReasonTruncated
	default:
		return classifier.ReasonReset
	}
}
