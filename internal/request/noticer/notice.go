// Package noticer carries what upstreams say of themselves from the nodes that received it
// to the node beside the upstream.
//
// # Usage
//
// The node beside an upstream states in its responses to other nodes what is in force:
//
//	h.Set(classifier.HeaderUpstreamNotice, noticer.Notice{Upstream: id, RateLimit: 5.8}.String())
//
// An entry node keeps the latest notice of each instance and returns it with its requests:
//
//	board.Record(instanceID, resp.Header.Get(classifier.HeaderUpstreamNotice), sentAt)
//	req.Header.Set(classifier.HeaderUpstreamNotice, board.Notice(instanceID))
//
// So a node that was restarted, and has received no response of its upstream since, learns
// from the first request of each entry node what that was told before.
package noticer

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
)

// ErrMalformed reports text that is not a notice.
var ErrMalformed = errors.New("malformed notice")

// maxNoticeBytes limits the length of a notice.
const maxNoticeBytes = 4 << 10

// Keys of the fields of a notice.
const (
	upstreamKey  = "upstream"
	startedKey   = "started-ms"
	drainingKey  = "draining"
	rateLimitKey = "rate-limit"
)

// Notice is what an upstream says of itself.
type Notice struct {
	// Upstream is the id of the upstream; empty if it has none.
	Upstream string
	// StartedAt is when the upstream started; the zero time if unknown.
	StartedAt time.Time
	// Draining reports that the upstream accepts no new requests.
	Draining bool
	// RateLimit is the number of requests a second that it accepts; 0 for no limit.
	RateLimit float64
}

// Parse parses text written by Notice.String.
func Parse(s string) (Notice, error) {
	if len(s) > maxNoticeBytes {
		return Notice{}, errors.Wrapf(ErrMalformed, "%d bytes", len(s))
	}
	var n Notice
	for field := range strings.SplitSeq(s, ";") {
		key, value, _ := strings.Cut(field, "=")
		if err := n.parseField(key, value); err != nil {
			return Notice{}, errors.Wrapf(err, "%q", s)
		}
	}
	if n.String() != s {
		return Notice{}, errors.Wrapf(ErrMalformed, "%q is not canonical", s)
	}
	return n, nil
}

func (n *Notice) parseField(key, value string) error {
	var err error
	switch key {
	case upstreamKey:
		n.Upstream, err = url.QueryUnescape(value)
	case startedKey:
		var ms int64
		ms, err = strconv.ParseInt(value, 10, 64)
		n.StartedAt = time.UnixMilli(ms)
	case drainingKey:
		n.Draining = value == "1"
	case rateLimitKey:
		n.RateLimit, err = ratelimiter.Parse(value)
	default:
		return errors.Wrapf(ErrMalformed, "unrecognized key %q", key)
	}
	if err != nil {
		return errors.Wrapf(ErrMalformed, "invalid %s", key)
	}
	return nil
}

// String returns the notice as a header value, such as
// "upstream=i-7f3a;started-ms=1777447491316;rate-limit=5.8". It is empty if the notice
// says nothing.
func (n Notice) String() string {
	if !n.Draining && n.RateLimit <= 0 {
		return ""
	}
	text := upstreamKey + "=" + url.QueryEscape(n.Upstream)
	if !n.StartedAt.IsZero() {
		text += ";" + startedKey + "=" + strconv.FormatInt(n.StartedAt.UnixMilli(), 10)
	}
	if n.Draining {
		text += ";" + drainingKey + "=1"
	}
	if n.RateLimit > 0 {
		text += ";" + rateLimitKey + "=" + strconv.FormatFloat(n.RateLimit, 'f', -1, 64)
	}
	return text
}
