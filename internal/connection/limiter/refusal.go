package limiter

import (
	"fmt"
	"net/http"
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// lingerTimeout is how long what a client sends after a refusal is read.
	lingerTimeout = 200 * time.Millisecond
	// lingerBufferBytes and maxLingerReads bound what is read of it.
	lingerBufferBytes = 2 << 10
	maxLingerReads    = 64
	// retryAfterSeconds is when a refused client may come back if others have too much.
	retryAfterSeconds = 1
)

// refusals are the responses to heads that are not read to their end.
var refusals = map[classifier.Reason][]byte{
	classifier.ReasonHeadTooLarge: refusal(http.StatusRequestHeaderFieldsTooLarge, classifier.ReasonHeadTooLarge, ""),
	classifier.ReasonCrowded: refusal(http.StatusServiceUnavailable, classifier.ReasonCrowded,
		fmt.Sprintf("%s: %d\r\n", classifier.HeaderRetryAfter, retryAfterSeconds)),
}

// refusal returns the response to a request whose head was not read to its end, and that never runs.
// Its outcome is unknown, since the request may have an idempotency key with which an earlier one ran.
func refusal(status int, reason classifier.Reason, fields string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), classifier.HeaderOutcome, classifier.Unknown, classifier.HeaderReason, reason, fields)
}
