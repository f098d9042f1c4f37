// Package requester sends HTTP/1.1 requests over pooled connections and tells
// of each failure whether the request may have run.
//
// # Usage
//
//	pool := requester.New(requester.Config{Dialer: &net.Dialer{}, MaxPerHost: 240})
//	defer pool.Close()
//	resp, err := pool.Do(ctx, addr, req)
//	var failure *requester.Error
//	if errors.As(err, &failure) && failure.Outcome() == classifier.NotRun {
//		// No byte of the request was written: it may be sent elsewhere.
//	}
//
// A request is written once to one connection; nothing is ever replayed. The
// end of ctx closes the connection, so that the other side sees it. The body
// of an answer that is not whole ends with an *Error, never with io.EOF. The
// caller must read the body to its end or close it.
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

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config lists the settings of a Pool.
type Config struct {
	// Dialer opens connections. It must not be nil.
	Dialer Dialer
	// MaxPerHost bounds the connections to one address; 0 for no bound.
	MaxPerHost int
	// DialTimeout bounds how long opening a connection takes; 0 for 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection stays open without an exchange; 0
	// for 30 s. It must be shorter than that of the other side, so that the
	// other side does not close a connection on which a request is being sent.
	IdleTimeout time.Duration
	// StallTimeout is how long sending, and receiving after the first byte of
	// the answer, may make no progress; 0 for ever.
	StallTimeout time.Duration
	// EchoHeader is the header whose value the other side copies from the
	// request to the answer; empty for none. An answer with another value
	// belongs to an earlier request: it is skipped, and its connection is used
	// no more.
	EchoHeader string
	// Unframed accepts answers with neither a length nor chunks: such a one is
	// whole if its connection ends in order, and broken off if it is reset.
	Unframed bool
}

// Limits bounds one exchange. The zero value takes the bounds of the pool.
type Limits struct {
	// StallTimeout replaces the pool's stall timeout, if it is not 0.
	StallTimeout time.Duration
}

// Pool keeps connections to any number of hosts. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	hosts sync.Map // netip.AddrPort to *host
	tomb  tomb.Tomb
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
	p.tomb.Go(p.expire)
	return p
}

// Close closes the idle connections. Exchanges that are running go on.
func (p *Pool) Close() error {
	p.tomb.Kill(nil)
	if err := p.tomb.Wait(); err != nil {
		return fmt.Errorf("wait for expiry: %w", err)
	}
	p.hosts.Range(func(_, h any) bool {
		h.(*host).shut()
		return true
	})
	return nil
}

// Do sends req to addr and returns the answer as soon as its head has arrived.
// Its error is an *Error.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, req *http.Request) (*http.Response, error) {
	return p.DoLimited(ctx, addr, req, Limits{})
}

// DoLimited does what Do does, under bounds for this exchange.
func (p *Pool) DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits Limits) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		closeBody(req)
		return nil, NewError(classifier.NotRun, contextReason(ctx, classifier.NotRun, classifier.ReasonNone), err)
	}
	c, err := p.connect(ctx, addr)
	if err != nil {
		closeBody(req)
		return nil, err
	}
	stall := limits.StallTimeout
	if stall == 0 {
		stall = p.cfg.StallTimeout
	}
	c.begin(stall)
	return newExchange(ctx, c, req, &p.cfg).run()
}

// connect takes an idle connection or opens one.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*connection, error) {
	h := p.host(addr)
	c, err := h.take()
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
	raw, err := p.cfg.Dialer.DialContext(dialCtx, "tcp", addr.String())
	if err != nil {
		h.release()
		return nil, NewError(classifier.NotRun, contextReason(ctx, classifier.NotRun, classifier.ReasonConnect), err)
	}
	return newConnection(raw, h), nil
}

// expire closes connections that were idle for too long until the pool is closed.
func (p *Pool) expire() error {
	ticker := time.NewTicker(p.cfg.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.hosts.Range(func(_, h any) bool {
				h.(*host).expire(now)
				return true
			})
		case <-p.tomb.Dying():
			return nil
		}
	}
}

func (p *Pool) host(addr netip.AddrPort) *host {
	if h, ok := p.hosts.Load(addr); ok {
		return h.(*host)
	}
	h, _ := p.hosts.LoadOrStore(addr, &host{max: p.cfg.MaxPerHost, idleTimeout: p.cfg.IdleTimeout})
	return h.(*host)
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		req.Body.Close()
	}
}
