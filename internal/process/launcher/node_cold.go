package launcher

import (
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/request/coldlimiter"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// firstColdReadDelay and maxColdReadDelay bound the time between two reads of the health
	// endpoint of an upstream in doubt. The time doubles with each read.
	firstColdReadDelay = 50 * time.Millisecond
	maxColdReadDelay   = time.Second
	// maxColdMilliseconds is the longest cold start that a response may name.
	maxColdMilliseconds = 3_600_000
)

// newColdLimiter returns the limiter of the rate at which the node's own upstream gets requests
// while it is cold.
func (n *Node) newColdLimiter(base zerolog.Logger) *coldlimiter.Limiter {
	return coldlimiter.New(coldlimiter.Config{
		Stating: n.settings.UpstreamHeartbeats(),
		Scope:   n.metrics.Scope().SubScope("server"),
		Log:     logger.Part(base, "coldlimiter"),
	})
}

// observeAvailability records whether the upstream accepts requests. One that does so again may
// have restarted.
func (n *Node) observeAvailability(available bool) {
	n.coldLimiter.Doubt(coldlimiter.CauseBrokenConnection)
	n.announcer.SetAvailable(available)
}

// concurrencyRamp returns the time in which the concurrency of a new upstream rises to its
// slots. A cold rate takes its place.
func concurrencyRamp(spec compiler.ServiceSpec) time.Duration {
	if spec.ColdRate > 0 {
		return 0
	}
	return spec.ColdStart
}

// DoubtUpstream makes the own upstream count as cold until it says otherwise, since it may have
// restarted while its failure domain was evacuated.
func (n *Node) DoubtUpstream() { n.coldLimiter.Doubt(coldlimiter.CauseReturned) }

// readColdStart reads the health endpoint when the cold limiter requests that. While the
// upstream is in doubt it repeats the read.
func (n *Node) readColdStart() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.coldLimiter.Requests():
		}
		for delay := firstColdReadDelay; n.readHealthOnce() && n.coldLimiter.InDoubt(); delay = min(2*delay, maxColdReadDelay) {
			select {
			case <-n.tomb.Dying():
				return nil
			case <-time.After(delay):
			}
		}
	}
}

// readHealthOnce reads the health endpoint. It reports whether there is one.
func (n *Node) readHealthOnce() bool {
	if n.healthPath() == "" {
		return false
	}
	n.gauger.ReadOnce()
	return true
}

// observeColdHealth records what a response of the health endpoint says of the upstream's cold
// start.
func (n *Node) observeColdHealth(resp *http.Response, sentAt time.Time) {
	if resp.Header.Get(classifier.HeaderColdMS) == "" && resp.StatusCode == http.StatusOK {
		n.coldLimiter.ObserveResponse(coldlimiter.Response{Implied: true, SentAt: sentAt})
		return
	}
	observeColdStatement(n.coldLimiter, resp.Header, sentAt)
}

// observeColdStatement records the remaining time of the upstream's cold start if the header of
// a response names it. It ignores one that cannot be parsed.
func observeColdStatement(l *coldlimiter.Limiter, h http.Header, sentAt time.Time) {
	ms, err := strconv.ParseFloat(h.Get(classifier.HeaderColdMS), 64)
	if err == nil && ms >= 0 && ms <= maxColdMilliseconds {
		l.ObserveResponse(coldlimiter.Response{Remaining: time.Duration(ms * float64(time.Millisecond)), SentAt: sentAt})
	}
}

// observeBrokenConnection records a failed exchange that a restart of the upstream may have
// caused. An idle connection that was closed, or an exchange that timed out, shows nothing. A
// reset seldom is a restart: it counts only if the upstream can be asked.
func observeBrokenConnection(l *coldlimiter.Limiter, err error, canBeAsked bool) {
	var failed *requester.Error
	if !errors.As(err, &failed) {
		return
	}
	reset := failed.Reason() == classifier.ReasonReset
	if errors.Is(failed, syscall.ECONNREFUSED) || reset && canBeAsked {
		l.Doubt(coldlimiter.CauseBrokenConnection)
	}
}
