package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/measurement/gauger"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/request/ratelimiter"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// inUsePeriod is how long the upstream counts as in use after its load was requested.
	inUsePeriod = 2 * time.Second
	// identifyInterval is the time between two requests for the id of an upstream that has
	// sent no heartbeat yet.
	identifyInterval = 100 * time.Millisecond
	// maxHealthBytes is the maximum size of the body of a health response.
	maxHealthBytes = 64 << 10
)

// errHealthTooLarge reports a health response with a body above maxHealthBytes. Such a
// body may have no end.
var errHealthTooLarge = errors.New("body too large")

// slowdown returns the current slowdown of the upstream.
func (n *Node) slowdown(now time.Time) sampler.Slowdown {
	if n.gauger == nil {
		return sampler.Slowdown{}
	}
	return n.gauger.Slowdown(now)
}

// reserveHealthRead reports whether the health endpoint may be read now, within the budget
// for measurements and the upstream's rate limit.
func (n *Node) reserveHealthRead(bytes int) bool {
	now := time.Now()
	if n.rateLimiter.Wait(1, now) > 0 || !n.prober.Reserve(n.settings.Service(), bytes) {
		return false
	}
	n.rateLimiter.Take(now)
	return true
}

// upstreamInUse reports whether the gauger should measure the upstream now: it is
// available, has a health endpoint and no rate limit, which reads would use up, and its
// load was requested recently.
func (n *Node) upstreamInUse() bool {
	now := time.Now()
	if _, available := n.enroller.Current(); !available || n.rateLimiter.Report(now).Limited() {
		return false
	}
	return n.healthPath() != "" && now.Sub(time.Unix(0, n.loadRequestedAt.Load())) < inUsePeriod
}

// identifyUpstream reads the upstream's id from its health endpoint, so that a restarted
// node does not wait for the next heartbeat.
func (n *Node) identifyUpstream() error {
	tick := time.NewTicker(identifyInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if id, _ := n.enroller.Current(); id != "" {
			return nil
		}
		if n.healthPath() != "" {
			n.gauger.ReadOnce()
		}
	}
}

// readHealth reads the upstream's health endpoint. It returns whether the upstream is
// healthy, and its load report.
func (n *Node) readHealth(ctx context.Context, r server.Requester) (bool, gauger.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.UpstreamAddress().String()+n.healthPath(), http.NoBody)
	if err != nil {
		return false, gauger.Report{}, fmt.Errorf("create the health request: %w", err)
	}
	sentAt := time.Now()
	resp, err := r.DoLimited(ctx, n.settings.UpstreamAddress(), req, requester.Limits{})
	observeBrokenConnection(n.coldLimiter, err, true)
	if err != nil {
		return false, gauger.Report{}, fmt.Errorf("request the health endpoint: %w", err)
	}
	defer resp.Body.Close()
	if err := discardHealthBody(resp.Body); err != nil {
		return false, gauger.Report{}, fmt.Errorf("read the health response: %w", err)
	}
	// A report that cannot be parsed counts as none.
	report, _ := gauger.ParseReport(resp.Header.Get(classifier.HeaderUpstreamLoad))
	n.observeHealthHeader(resp, sentAt)
	return resp.StatusCode < http.StatusInternalServerError, report, nil
}

// observeHealthHeader records what the header of a health response says of the upstream.
func (n *Node) observeHealthHeader(resp *http.Response, sentAt time.Time) {
	id := resp.Header.Get(classifier.HeaderUpstream)
	if id == "" {
		return
	}
	switch {
	case resp.Header.Get(classifier.HeaderDraining) != "":
		n.enroller.RecordDraining(id, time.Time{})
	case resp.StatusCode == http.StatusOK:
		n.enroller.Identify(id)
	}
	if n.enroller.Matches(id, time.Time{}) {
		n.observeColdHealth(resp, sentAt)
		n.rateLimiter.Observe(ratelimiter.Response{Limit: resp.Header.Get(classifier.HeaderRateLimit), Inconclusive: true})
	}
}

// discardHealthBody reads the body of a health response to its end.
func discardHealthBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxHealthBytes+1))
	if err == nil && n > maxHealthBytes {
		return errHealthTooLarge
	}
	return err
}
