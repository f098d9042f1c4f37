package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// continueTimeout is how long a request with "Expect: 100-continue" waits
	// for leave to send its body.
	continueTimeout = time.Second
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 16
)

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx  context.Context
	conn *connection
	req  *http.Request
	cfg  *Config
	r    *bufio.Reader
	// spoiled tells that the connection carried what belongs to no request.
	spoiled bool
	// stop ends the watch over ctx and reports whether it did so in time.
	stop func() bool
	// body is what is left to send beside the reading, or nil.
	body *requestBody
	// sender runs the writing of a streamed request; nil if all was sent before reading.
	sender *tomb.Tomb
}

func newExchange(ctx context.Context, c *connection, req *http.Request, cfg *Config) *exchange {
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	return &exchange{ctx: ctx, conn: c, req: req, cfg: cfg, r: r, stop: context.AfterFunc(ctx, c.close)}
}

// run sends the request and receives the head of the answer.
func (e *exchange) run() (*http.Response, error) {
	sendErr := e.send()
	if sendErr != nil && !e.conn.sent.Load() {
		return nil, e.fail(classifier.ReasonSend, sendErr)
	}
	// Even after a failed send the answer may be there: that of an upstream
	// that refused the request early.
	resp, err := e.receive()
	if err == nil {
		return e.accept(resp)
	}
	reason := receiveReason(e.conn)
	if reason == classifier.ReasonReset && (sendErr != nil || !e.sentWhole()) {
		reason = e.sendReason()
	}
	return nil, e.fail(reason, err)
}

// send writes the request, or starts writing it if its body is streamed.
func (e *exchange) send() error {
	if !hasBody(e.req) || buffered(e.req.Body) && !expectsContinue(e.req) {
		return e.write(e.req)
	}
	w := *e.req
	e.body = newRequestBody(e.req)
	w.Body = e.body
	e.sender = &tomb.Tomb{}
	e.sender.Go(func() error { return e.write(&w) })
	return nil
}

func (e *exchange) write(req *http.Request) error {
	buf := writers.Get().(*bufio.Writer)
	buf.Reset(e.conn)
	defer func() {
		buf.Reset(nil)
		writers.Put(buf)
	}()
	var w io.Writer = buf
	if hasBody(req) {
		w = &writer{buf: buf} // Head and body go out together.
	}
	if e.body != nil {
		e.body.flush = buf.Flush
	}
	err := req.Write(w)
	if err == nil {
		err = buf.Flush()
	}
	var network net.Error
	if errors.As(e.conn.writeErr, &network) && network.Timeout() {
		e.conn.close() // The other side is stuck: no answer will come either.
	}
	return errors.Wrap(err, "write request")
}

// receive reads answers up to the final one.
func (e *exchange) receive() (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(e.r, e.req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if resp.StatusCode >= http.StatusOK && e.foreign(resp) {
			e.skip(resp)
			continue
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusContinue && e.body != nil {
			e.body.proceed()
		}
	}
	return nil, errHeadTooLarge
}

// foreign reports whether an answer says that it belongs to another request.
func (e *exchange) foreign(resp *http.Response) bool {
	if e.cfg.EchoHeader == "" {
		return false
	}
	value := resp.Header.Get(e.cfg.EchoHeader)
	return value != "" && value != e.req.Header.Get(e.cfg.EchoHeader)
}

// skip reads over an answer that belongs to another request. An error shows
// when the next answer is read.
func (e *exchange) skip(resp *http.Response) {
	e.spoiled = true
	_, _ = io.Copy(io.Discard, resp.Body)
}

// accept hands out the answer with a body that knows its end.
func (e *exchange) accept(resp *http.Response) (*http.Response, error) {
	e.conn.limit = 0
	unframed := resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unframed && !e.cfg.Unframed {
		return nil, e.fail(classifier.ReasonMalformed, errNoLength)
	}
	if resp.Body == http.NoBody {
		e.finish(resp)
		return resp, nil
	}
	resp.Body = &answerBody{exchange: e, resp: resp, src: resp.Body}
	return resp, nil
}

// finish ends a whole exchange and keeps the connection if both sides can go on.
func (e *exchange) finish(resp *http.Response) {
	inTime := e.stop()
	reusable := inTime && !e.spoiled && !resp.Close && !e.req.Close && e.r.Buffered() == 0 && e.sentWhole()
	e.releaseReader()
	if reusable && e.conn.rest() {
		e.conn.host.put(e.conn)
		return
	}
	e.abandon()
}

// abandon closes the connection, which also ends a sender that is still at work.
func (e *exchange) abandon() {
	e.stop()
	e.conn.close()
	if e.body != nil {
		e.body.abort()
	}
	e.releaseReader()
}

// fail closes the connection before it looks at what was sent, so that
// nothing can be sent after not-run was claimed.
func (e *exchange) fail(reason classifier.Reason, cause error) *Error {
	e.abandon()
	outcome := classifier.Unknown
	if !e.conn.sent.Load() {
		outcome = classifier.NotRun
	}
	return NewError(outcome, contextReason(e.ctx, outcome, reason), cause)
}

func (e *exchange) releaseReader() {
	if e.r == nil {
		return
	}
	e.r.Reset(nil)
	readers.Put(e.r)
	e.r = nil
}

// sentWhole reports whether the request was sent to its end.
func (e *exchange) sentWhole() bool {
	return e.sender == nil || (!e.sender.Alive() && e.sender.Err() == nil)
}

// sendReason returns why a request could not be sent to its end.
func (e *exchange) sendReason() classifier.Reason {
	if e.body != nil && e.body.failed.Load() {
		return classifier.ReasonCanceled
	}
	return classifier.ReasonSend
}

// receiveReason returns why the head of an answer could not be read.
func receiveReason(c *connection) classifier.Reason {
	var network net.Error
	switch {
	case c.readErr == nil:
		return classifier.ReasonMalformed
	case errors.As(c.readErr, &network) && network.Timeout():
		return classifier.ReasonStalled
	case c.received > 0:
		return classifier.ReasonTruncated
	default:
		return classifier.ReasonReset
	}
}
