package requester

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/fieldchecker"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// responseBody is the body of a response. It ends with io.EOF only if it is
// complete, and with an *Error otherwise.
type responseBody struct {
	exchange *exchange
	resp     *http.Response
	src      io.ReadCloser
	endErr   error // Returned by further reads once the body has ended.
	// closeDelimited is true if the body ends with the connection.
	closeDelimited bool
}

// Read reads the body. At its end it finishes the exchange.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.checkEnd()
	}
	if err == nil {
		b.endErr = io.EOF
		b.exchange.finish(b.resp)
		return n, io.EOF
	}
	b.endErr = b.exchange.fail(bodyFailureReason(b.exchange.conn), err)
	return n, b.endErr
}

// checkEnd returns an error if a body that seems to have ended is incomplete or has malformed
// trailers.
//
// The system reports the reset of a connection once, to a read or to a write, and then the end of
// the connection to all others. So a body without a length is complete only if no write failed.
func (b *responseBody) checkEnd() error {
	if b.closeDelimited {
		if err := b.exchange.conn.endWrites(); err != nil {
			b.exchange.conn.readErr = err
			return fmt.Errorf("%w: %w", errNoOrderlyEnd, err)
		}
	}
	if err := fieldchecker.Check(b.resp.Trailer); err != nil {
		return fmt.Errorf("check trailers: %w", err)
	}
	return nil
}

// Close does nothing if the body has ended. Otherwise it ends the exchange and closes the
// connection, so that the server detects that the response is no longer wanted.
func (b *responseBody) Close() error {
	if b.endErr == nil {
		b.endErr = NewError(classifier.Unknown, classifier.ReasonCanceled, errBodyClosed)
		b.exchange.abandon()
	}
	return nil
}

// bodyFailureReason returns why a response body is incomplete.
func bodyFailureReason(c *connection) classifier.Reason {
	if reason := receiveFailureReason(c); reason != classifier.ReasonReset {
		return reason
	}
	return classifier.ReasonTruncated
}
