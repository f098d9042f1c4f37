package requester

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// answerBody is the body of an answer. It ends with io.EOF only if it is
// whole, and with an *Error otherwise.
type answerBody struct {
	exchange *exchange
	resp     *http.Response
	src      io.ReadCloser
	end      error
}

// Read reads the body.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.end = io.EOF
		b.exchange.finish(b.resp)
		return n, io.EOF
	}
	b.end = b.exchange.fail(bodyReason(b.exchange.conn), err)
	return n, b.end
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed, so that the other side sees that nobody waits for the answer.
func (b *answerBody) Close() error {
	if b.end == nil {
		b.end = NewError(classifier.Unknown, classifier.ReasonCanceled, errBodyOutcome)
		b.exchange.abandon()
	}
	return nil
}

// bodyReason returns why a body ended before it was whole.
func bodyReason(c *connection) classifier.Reason {
	if reason := receiveReason(c); reason != classifier.ReasonReset {
		return reason
	}
	return classifier.ReasonTruncated
}
