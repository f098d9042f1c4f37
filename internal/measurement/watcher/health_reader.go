package watcher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/fieldchecker"
)

const (
	// healthInterval is the time between two reads of a health endpoint, and
	// healthRetryInterval the time until a read is retried for which the budget was spent.
	healthInterval      = 5 * time.Second
	healthRetryInterval = 200 * time.Millisecond
	// healthTimeout bounds one read.
	healthTimeout = time.Second
	// healthReadBytes is the cost of one read, charged to the budget: a connection, a
	// request and the head of a response, which is no longer than maxHealthHeadBytes.
	healthReadBytes    = 1024
	maxHealthHeadBytes = 512
	// maxStatus is the greatest status code of HTTP.
	maxStatus = 599
)

// errInconclusive reports a response that neither confirms nor denies health.
var errInconclusive = errors.New("response is neither healthy nor unhealthy")

// HealthConfig lists what a HealthReader depends on.
type HealthConfig struct {
	// Upstream is the address of the upstream.
	Upstream netip.AddrPort
	// Path returns the path of the health endpoint in force; empty for none.
	Path func() string
	// Transport makes the requests.
	Transport http.RoundTripper
	// Reserve charges one read of the given bytes to the budget for measurements, and
	// reports whether it is allowed now.
	Reserve func(bytes int) bool
	// OnHealth is called with the result of each conclusive read. It must not block.
	OnHealth func(healthy bool)
	// Scope is the parent of the metrics.
	Scope tally.Scope
}

// HealthReader reads the upstream's own health endpoint at a low fixed rate. The result is a
// hint that results of requests override. A read that fails, hangs or returns status 4xx is
// inconclusive.
type HealthReader struct {
	cfg                                  HealthConfig
	healthy, unhealthy, failed, deferred tally.Counter
	tomb                                 tomb.Tomb
}

// NewHealthTransport returns a transport that opens a connection for each read and limits
// the size of the response's head.
func NewHealthTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHealthHeadBytes}
}

// NewHealthReader returns a reader that has not started.
func NewHealthReader(cfg HealthConfig) *HealthReader {
	return &HealthReader{
		cfg:       cfg,
		healthy:   cfg.Scope.Counter("health_reads_healthy"),
		unhealthy: cfg.Scope.Counter("health_reads_unhealthy"),
		failed:    cfg.Scope.Counter("health_reads_failed"),
		deferred:  cfg.Scope.Counter("health_reads_deferred"),
	}
}

// Start starts the reads.
func (h *HealthReader) Start() { h.tomb.Go(h.run) }

// Stop cancels a read in progress and ends the reads.
func (h *HealthReader) Stop() error {
	h.tomb.Kill(nil)
	return h.tomb.Wait()
}

func (h *HealthReader) run() error {
	timer := time.NewTimer(healthInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-timer.C:
			timer.Reset(h.poll())
		}
	}
}

// poll reads the endpoint, if there is one and the budget allows it. It returns the time
// until the next poll.
func (h *HealthReader) poll() time.Duration {
	path := h.cfg.Path()
	if path == "" {
		return healthInterval
	}
	if !h.cfg.Reserve(healthReadBytes) {
		h.deferred.Inc(1)
		return healthRetryInterval
	}
	healthy, err := h.read(path)
	switch {
	case err != nil:
		h.failed.Inc(1)
		return healthInterval
	case healthy:
		h.healthy.Inc(1)
	default:
		h.unhealthy.Inc(1)
	}
	h.cfg.OnHealth(healthy)
	return healthInterval
}

// read returns whether the upstream is healthy, or an error if the read is inconclusive.
func (h *HealthReader) read(path string) (bool, error) {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.cfg.Upstream.String()+path, http.NoBody)
	if err != nil {
		return false, fmt.Errorf("create the health request: %w", err)
	}
	resp, err := h.cfg.Transport.RoundTrip(req)
	if err != nil {
		return false, fmt.Errorf("request the health endpoint: %w", err)
	}
	resp.Body.Close()
	if err := fieldchecker.Check(resp.Header); err != nil {
		return false, fmt.Errorf("read the health response: %w", err)
	}
	switch {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return false, errors.Wrapf(errInconclusive, "status %d", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		return false, nil
	case resp.StatusCode >= http.StatusBadRequest:
		return false, errors.Wrapf(errInconclusive, "status %d", resp.StatusCode)
	}
	return true, nil
}
