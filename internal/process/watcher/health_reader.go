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
)

const (
	// healthInterval is the time between two reads of a health endpoint, and
	// healthRetryInterval that until a read is tried again for want of budget.
	healthInterval      = 5 * time.Second
	healthRetryInterval = 200 * time.Millisecond
	// healthTimeout bounds one read.
	healthTimeout = time.Second
	// healthBytes is what one read is charged: a connection, a request and the
	// head of an answer, which is no longer than maxHealthHead.
	healthBytes   = 1024
	maxHealthHead = 512
)

// errNoHealth reports an answer that tells nothing about health.
var errNoHealth = errors.New("neither healthy nor unhealthy")

// HealthConfig lists what a HealthReader depends on.
type HealthConfig struct {
	// Upstream is the address of the upstream.
	Upstream netip.AddrPort
	// Path returns the path of the health endpoint in force; empty for none.
	Path func() string
	// Transport makes the requests.
	Transport http.RoundTripper
	// Reserve charges one read of the given bytes to the budget of measuring and
	// reports whether it is allowed now.
	Reserve func(bytes int) bool
	// OnHealth is told of each reading. It must not block.
	OnHealth func(healthy bool)
	// Scope takes the metrics.
	Scope tally.Scope
}

// HealthReader reads the upstream's own health endpoint at a low fixed rate.
// What it reads is a hint: requests go first. A read that fails, hangs or gets
// an answer of 4xx tells nothing.
type HealthReader struct {
	cfg                                  HealthConfig
	healthy, unhealthy, failed, deferred tally.Counter
	tomb                                 tomb.Tomb
}

// NewHealthTransport returns a transport that opens one connection for each
// read and bounds what it reads.
func NewHealthTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHealthHead}
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

// Start begins to read.
func (h *HealthReader) Start() { h.tomb.Go(h.run) }

// Stop ends the reads.
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
			timer.Reset(h.tick())
		}
	}
}

// tick reads the endpoint if there is one and the budget allows it. It returns
// how long to wait for the next tick.
func (h *HealthReader) tick() time.Duration {
	path := h.cfg.Path()
	if path == "" {
		return healthInterval
	}
	if !h.cfg.Reserve(healthBytes) {
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

// read returns what the endpoint says, or an error if it says nothing.
func (h *HealthReader) read(path string) (bool, error) {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.cfg.Upstream.String()+path, http.NoBody)
	if err != nil {
		return false, fmt.Errorf("make the request: %w", err)
	}
	resp, err := h.cfg.Transport.RoundTrip(req)
	if err != nil {
		return false, fmt.Errorf("ask the endpoint: %w", err)
	}
	resp.Body.Close()
	switch {
	case resp.StatusCode >= http.StatusInternalServerError:
		return false, nil
	case resp.StatusCode >= http.StatusBadRequest:
		return false, errors.Wrapf(errNoHealth, "status %d", resp.StatusCode)
	}
	return true, nil
}
