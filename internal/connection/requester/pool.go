// Package requester sends HTTP/1.1 requests over pooled connections and reports
// for each failure whether the request may have run.
//
// # Usage
//
//	pool := requester.New(requester.Config{Dialer: &net.Dialer{}, MaxConnsPerHost: 240})
//	defer pool.Close()
//	resp, err := pool.Do(ctx, addr, req)
//	var failure *requester.Error
//	if errors.As(err, &failure) && failure.Outcome() == classifier.NotRun {
//		// No byte of the request was written: it can safely be sent elsewhere.
//	}
//
// A request is written once, to one connection, and never retried. If ctx ends during
// the exchange, the connection is closed, so that the server detects the cancellation.
// The body of an incomplete response ends with an *Error, never with io.EOF. The caller
// must read the body to its end or close it.
package requester

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Defaults of a Config.
const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
)

// Dialer opens network connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config lists the settings of a Pool.
type Config struct {
	// Dialer opens connections. It must not be nil.
	Dialer Dialer
	// MaxConnsPerHost limits the open connections to one address; 0 means no limit.
	MaxConnsPerHost int
	// DialTimeout limits how long opening a connection takes; 0 means 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open; 0 means 30 s. It
	// must be shorter than the server's, so that the server does not close a
	// connection on which a request is being sent.
	IdleTimeout time.Duration
	// StallTimeout limits how long one write, or one read after the first byte of the
	// response, may block; 0 means no limit.
	StallTimeout time.Duration
	// EchoHeader names a header whose value the server copies from the request to
	// the response; empty for none. A response without it or with another value belongs
	// to no request or to an earlier one: it is discarded, and its connection is not
	// reused.
	EchoHeader string
	// AllowCloseDelimited accepts responses with neither a length nor chunked encoding.
	// Such a response is complete if the server closes the connection, and truncated
	// if the connection is reset.
	AllowCloseDelimited bool
}

// Limits overrides the limits of the pool for one exchange. The zero value overrides
// none.
type Limits struct {
	// StallTimeout replaces the pool's stall timeout if the context has a StallHandler,
	// unless it is 0.
	StallTimeout time.Duration
	// RunsWithBody declares that the server runs a request with "Expect: 100-continue" only once
	// it has received a part of the body. The body is sent only after a 100 response, however long
	// that takes, and a failure before that is not-run.
	RunsWithBody bool
}

// Pool keeps connections to any number of addresses. It is safe for concurrent use.
type Pool struct {
	cfg       Config
	hostPools sync.Map // netip.AddrPort to *hostPool
	tomb      tomb.Tomb
}

// New returns a pool with the given settings. The caller must close it.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	p := &Pool{cfg: cfg}
	p.tomb.Go(p.closeExpired)
	return p
}

// Close closes the idle connections. Exchanges in progress continue.
func (p *Pool) Close() error {
	p.tomb.Kill(nil)
	if err := p.tomb.Wait(); err != nil {
		return fmt.Errorf("stop closing expired connections: %w", err)
	}
	p.hostPools.Range(func(_, h any) bool {
		h.(*hostPool).close()
		return true
	})
	return nil
}

// Do sends req to addr and returns the response as soon as its head has arrived.
// Its error is an *Error.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, req *http.Request) (*http.Response, error) {
	return p.DoLimited(ctx, addr, req, Limits{})
}

// DoLimited is like Do, but limits override those of the pool.
func (p *Pool) DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits Limits) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		closeBody(req)
		return nil, NewError(classifier.NotRun, contextReason(ctx, classifier.NotRun, classifier.ReasonNone), err)
	}
	c, err := p.acquire(ctx, addr)
	if err != nil {
		closeBody(req)
		return nil, err
	}
	c.beginExchange(newStallLimit(ctx, &p.cfg, limits))
	e := newExchange(ctx, c, req, &p.cfg)
	e.runsWithBody = limits.RunsWithBody && expectsContinue(req)
	return e.run()
}

// acquire returns an idle connection or opens one.
func (p *Pool) acquire(ctx context.Context, addr netip.AddrPort) (*connection, error) {
	h := p.hostPool(addr)
	c, err := h.acquire()
	if errors.Is(err, errConnectionLimit) {
		return nil, NewError(classifier.NotRun, classifier.ReasonConnections, err)
	}
	if err != nil {
		return nil, NewError(classifier.NotRun, classifier.ReasonConnect, err)
	}
	if c != nil {
		return c, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	netConn, err := p.cfg.Dialer.DialContext(dialCtx, "tcp", addr.String())
	if err != nil {
		h.releaseSlot()
		return nil, NewError(classifier.NotRun, contextReason(ctx, classifier.NotRun, classifier.ReasonConnect), err)
	}
	return newConnection(netConn, h), nil
}

// closeExpired periodically closes the connections that have reached the idle timeout,
// until the pool is closed.
func (p *Pool) closeExpired() error {
	ticker := time.NewTicker(p.cfg.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.hostPools.Range(func(_, h any) bool {
				h.(*hostPool).closeExpired(now)
				return true
			})
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// hostPool returns the connections to addr. It adds an empty hostPool for a new address.
func (p *Pool) hostPool(addr netip.AddrPort) *hostPool {
	if h, ok := p.hostPools.Load(addr); ok {
		return h.(*hostPool)
	}
	h, _ := p.hostPools.LoadOrStore(addr, &hostPool{maxOpen: p.cfg.MaxConnsPerHost, idleTimeout: p.cfg.IdleTimeout})
	return h.(*hostPool)
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		req.Body.Close()
	}
}
