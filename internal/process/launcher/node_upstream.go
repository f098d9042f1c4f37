package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/process/gauger"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/request/server"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// busyPeriod is for how long after a request for it the load of the upstream is
	// followed.
	busyPeriod = 2 * time.Second
	// identifyInterval is how often an upstream that sent no heartbeat yet is asked
	// who it is.
	identifyInterval = 100 * time.Millisecond
)

// spell returns how fast the upstream works now.
func (n *Node) spell(now time.Time) sampler.Slowdown {
	if n.gauger == nil {
		return sampler.Slowdown{}
	}
	return n.gauger.Slowdown(now)
}

// busy reports whether the speed of the upstream matters now.
func (n *Node) busy() bool {
	if _, available := n.enroller.Current(); !available {
		return false
	}
	return n.healthPath() != "" && time.Since(time.Unix(0, n.askedAt.Load())) < busyPeriod
}

// identifyUpstream asks the upstream who it is, so that a node that was
// started again need not wait for the next heartbeat.
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

// readHealth reads the upstream's health endpoint.
func (n *Node) readHealth(ctx context.Context, r server.Requester) (bool, gauger.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.UpstreamAddress().String()+n.healthPath(), http.NoBody)
	if err != nil {
		return false, gauger.Report{}, fmt.Errorf("make the request: %w", err)
	}
	resp, err := r.DoLimited(ctx, n.settings.UpstreamAddress(), req, requester.Limits{})
	if err != nil {
		return false, gauger.Report{}, fmt.Errorf("ask the health endpoint: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, gauger.Report{}, fmt.Errorf("read the answer: %w", err)
	}
	// A report that cannot be read is as good as none.
	report, _ := gauger.ParseReport(resp.Header.Get(classifier.HeaderUpstreamLoad))
	if id := resp.Header.Get(classifier.HeaderUpstream); id != "" && resp.StatusCode == http.StatusOK {
		n.enroller.Identified(id)
	}
	return resp.StatusCode < http.StatusInternalServerError, report, nil
}
