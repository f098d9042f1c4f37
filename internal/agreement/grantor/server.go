package grantor

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 50 * time.Millisecond
	// greetingInterval is the time between two greetings of a node that has not reported, and
	// greetingsPerTick the number of nodes greeted in one tick.
	greetingInterval = 200 * time.Millisecond
	greetingsPerTick = 200
)

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Elector tells who grants. elector.Elector implements it.
type Elector interface {
	// Tenure returns the id of this instance's tenure and whether it grants at this moment.
	Tenure() (id uint64, held bool)
	// Holder returns the address of the instance that grants, as far as this one knows.
	Holder() (netip.AddrPort, bool)
}

// ServerConfig lists what a Server depends on.
type ServerConfig struct {
	Grantor Config
	Elector Elector
	// Nodes returns the peer addresses of the nodes in the view of the fleet.
	Nodes     func() []netip.AddrPort
	Transport Transport
	// Now returns a time that goes on while the machine is suspended.
	Now   func() time.Duration
	Scope tally.Scope
	Log   zerolog.Logger
}

// Server answers the asks of nodes while this instance is elected, and tells them who is
// otherwise.
type Server struct {
	cfg                             ServerConfig
	answered, redirected, malformed tally.Counter
	granted, refused                tally.Counter
	tomb                            tomb.Tomb

	mu      sync.Mutex // Guards the fields below.
	grantor *Grantor
	// seenAt holds when each node was last in the view, for those that left it while they may
	// hold leases.
	seenAt          map[netip.AddrPort]time.Duration
	greeted         map[netip.AddrPort]time.Duration
	leasesWereKnown bool // Whether all leases were known at the last tick.
}

// NewServer returns a server that answers immediately. Start starts what depends on time.
func NewServer(cfg ServerConfig) *Server {
	cfg.Log = logger.Part(cfg.Log, "grantor")
	s := &Server{
		cfg:        cfg,
		answered:   cfg.Scope.Counter("asks_answered"),
		redirected: cfg.Scope.Counter("asks_redirected"),
		malformed:  cfg.Scope.Counter("malformed"),
		granted:    cfg.Scope.Counter("tokens_granted"),
		refused:    cfg.Scope.Counter("tokens_refused"),
		grantor:    New(cfg.Grantor),
		seenAt:     make(map[netip.AddrPort]time.Duration),
	}
	cfg.Transport.Handle(courier.KindQuotaAsk, s.receive)
	return s
}

// Start starts greeting nodes and taking account of time.
func (s *Server) Start() { s.tomb.Go(s.run) }

// Stop ends what Start started.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	if err := s.tomb.Wait(); err != nil {
		return fmt.Errorf("stop grantor: %w", err)
	}
	return nil
}

// Elected begins the tenure at once.
func (s *Server) Elected() { s.tick() }

func (s *Server) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
			s.tick()
		}
	}
}

// tick does what depends on time.
func (s *Server) tick() {
	nodes := s.cfg.Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.see(nodes, now)
	if !s.begin(now) {
		return
	}
	s.grantor.Tick(now)
	s.greet(now)
	if known := s.grantor.leasesKnownAt > 0; known != s.leasesWereKnown {
		s.leasesWereKnown = known
		s.cfg.Log.Info().Uint64("tenure", s.grantor.Tenure()).
			Float64("after-ms", milliseconds(now-s.grantor.begunAt)).Msg("All leases are known.")
	}
}

// see records which nodes are in the view.
func (s *Server) see(nodes []netip.AddrPort, now time.Duration) {
	for _, a := range nodes {
		s.seenAt[a] = now
	}
	for a, at := range s.seenAt {
		if now-at >= s.cfg.Grantor.Lease() {
			delete(s.seenAt, a)
		}
	}
}

// begin reports whether this instance grants at this moment, and begins the tenure if it is new.
func (s *Server) begin(now time.Duration) bool {
	tenure, held := s.cfg.Elector.Tenure()
	if !held {
		return false
	}
	if s.grantor.Tenure() == tenure {
		return true
	}
	nodes := make([]netip.AddrPort, 0, len(s.seenAt))
	for a := range s.seenAt {
		nodes = append(nodes, a)
	}
	s.grantor.Begin(tenure, nodes, now)
	s.greeted, s.leasesWereKnown = make(map[netip.AddrPort]time.Duration), false
	return true
}

// greet asks nodes that have not reported their leases to do so.
func (s *Server) greet(now time.Duration) {
	left := greetingsPerTick
	for _, a := range s.grantor.Unreported() {
		if at, greeted := s.greeted[a]; greeted && now-at < greetingInterval {
			continue
		}
		if left--; left < 0 {
			return
		}
		s.greeted[a] = now
		s.send(a, Greeting{Tenure: s.grantor.Tenure()}.Encode())
	}
}

// receive handles one ask.
func (s *Server) receive(from netip.AddrPort, payload []byte) {
	ask, err := DecodeAsk(payload)
	if err != nil {
		s.malformed.Inc(1)
		s.cfg.Log.Debug().Err(err).Stringer("from", from).Msg("Message ignored.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if !s.begin(now) {
		holder, _ := s.cfg.Elector.Holder()
		s.redirected.Inc(1)
		s.send(from, Redirect{Seq: ask.Seq, Grantor: holder}.Encode())
		return
	}
	answer, ok := s.grantor.Ask(from, ask, now)
	if !ok {
		return
	}
	s.answered.Inc(1)
	s.count(ask, answer)
	s.send(from, answer.Encode())
}

func (s *Server) count(ask Ask, answer Answer) {
	wanted, granted := 0, 0
	for i, g := range answer.Grants {
		wanted += ask.Records[i].Wanted
		granted += g.Tokens
	}
	s.granted.Inc(int64(granted))
	s.refused.Inc(int64(wanted - granted))
}

func (s *Server) send(to netip.AddrPort, payload []byte) {
	if err := s.cfg.Transport.Send(courier.KindQuotaAnswer, to, payload); err != nil {
		s.cfg.Log.Debug().Err(err).Stringer("to", to).Msg("Message not sent.")
	}
}

// Status returns what this instance grants.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, _ := s.cfg.Elector.Holder()
	if !s.begin(s.cfg.Now()) {
		return Status{Grantor: holder}
	}
	status := s.grantor.Status()
	status.Grantor, status.Grants = holder, true
	return status
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
