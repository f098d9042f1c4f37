package launcher

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/process/enroller"
	"github.com/banyanscale/banyanscale/internal/request/noticer"
	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
)

// upstreamNotices exchanges with other nodes what the node's own upstream says of itself. It
// implements server.Notices.
type upstreamNotices struct {
	enroller    *enroller.Enroller // Nil if the upstream sends no heartbeats.
	rateLimiter *ratelimiter.Limiter
	log         zerolog.Logger
}

// Current implements server.Notices.
func (u upstreamNotices) Current() string {
	notice := noticer.Notice{RateLimit: u.rateLimiter.Report(time.Now()).PerSecond}
	if u.enroller != nil {
		notice.Upstream, notice.StartedAt, notice.Draining = u.enroller.Departure()
	}
	return notice.String()
}

// Apply implements server.Notices. It ignores a notice of another upstream.
func (u upstreamNotices) Apply(text string) {
	notice, err := noticer.Parse(text)
	if err != nil {
		u.log.Debug().Err(err).Msg("Another node sent a malformed notice.")
		return
	}
	if u.enroller != nil && !u.enroller.Matches(notice.Upstream, notice.StartedAt) {
		return
	}
	if notice.Draining && u.enroller != nil {
		u.enroller.RecordDraining(notice.Upstream, notice.StartedAt)
	}
	if notice.RateLimit > 0 {
		u.rateLimiter.Adopt(notice.RateLimit)
	}
}
