package requester

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// keepAliveMargin is how long before a server closes an idle connection it is no longer
	// used, so that no request crosses the close. It is at most a share of the timeout, which
	// keepAliveMarginDivisor divides.
	keepAliveMargin        = 500 * time.Millisecond
	keepAliveMarginDivisor = 4
	// maxKeepAliveSeconds bounds the timeout that a server may advertise.
	maxKeepAliveSeconds = 3600
)

// keepAliveTimeout returns how long a connection may be idle before its next use, by the
// header Keep-Alive of the last response. It returns false if the response advertises no timeout.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return 0, false
		}
		timeout := time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		return timeout - min(keepAliveMargin, timeout/keepAliveMarginDivisor), true
	}
	return 0, false
}
