// Package prober keeps the load samples of other instances fresh with small
// datagrams, within budgets that are never exceeded.
//
// # Usage
//
//	p := prober.New(prober.Config{Pool: pool, Source: snapshots, Transport: socket, Self: id, ...})
//	t.Go(func() error { return p.Run(t.Dying()) })
//	response := p.HandleProbe(from, payload)    // nil if there is nothing to send
//	p.HandleResponse(from, payload, time.Now())
//
// Responses to requests carry samples at no extra cost. Probes renew only the
// samples that are stale nevertheless, of active services, which are those that this
// node recently sent requests to. They are evenly spaced in time and renew the oldest
// sample first.
//
// A probe is charged when it is sent, with the bytes of the probe, of its response
// and of the headers of both datagrams, whether or not the response arrives. Three
// budgets limit the messages and bytes within any second: one per service, which
// is configured, one for all probes of the node, and one for its responses to the
// probes of others.
package prober

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// pollInterval is the time between two checks for stale samples while a probe may
	// be sent but no sample is stale.
	pollInterval = 10 * time.Millisecond
	// activeUpdateInterval is the time between two updates of the active services.
	activeUpdateInterval = 100 * time.Millisecond
	// activePeriod is how long a service counts as active after a request.
	activePeriod = 5 * time.Second
	// responseTimeout is how long a response is accepted after its probe was sent.
	responseTimeout = time.Second
	// defaultMessages and defaultBytes limit, per second, the probes of a node with
	// their responses, and separately the responses that it sends.
	defaultMessages = 24
	defaultBytes    = defaultMessages * exchangeCost
)

// Pool stores the load samples of instances.
type Pool interface {
	Observe(instanceID string, incarnation uint64, l sampler.Load, now time.Time)
	Read(instanceID string, maxAge time.Duration, now time.Time) sampler.Reading
	SentSince(t time.Time) []string
}

// Source provides the configuration in force and the view of the fleet.
type Source interface {
	Snapshot() *publisher.Snapshot
}

// Transport sends datagrams to the peer addresses of other nodes.
type Transport interface {
	Send(to netip.AddrPort, payload []byte) error
}

// LoadSource returns the load of this node's upstream.
type LoadSource interface {
	Load() sampler.Load
}

// Config lists the settings of a Prober.
type Config struct {
	// Pool receives the samples.
	Pool Pool
	// Source provides the instances and the budgets of services.
	Source Source
	// Transport sends the probes.
	Transport Transport
	// Self is the id of this node's instance.
	Self string
	// OwnLoad returns the load of this node's upstream; nil if it has none, in which
	// case probes get no response.
	OwnLoad LoadSource
	// Messages and Bytes limit, per second, the number of this node's probes and the
	// bytes of these with their responses; 0 means the default.
	Messages, Bytes int
	// ResponseMessages and ResponseBytes limit, per second, the responses that this
	// node sends; 0 means the default.
	ResponseMessages, ResponseBytes int
	// OnDemand disables periodic probes, so that only Refresh sends any.
	OnDemand bool
	// Scope receives the metrics; nil for none.
	Scope tally.Scope
	// Log receives the log lines.
	Log zerolog.Logger
	// Random is used only under the prober's lock; nil means a randomly seeded one.
	Random *rand.Rand
}

// pendingProbe is a probe that was sent and has no response yet.
type pendingProbe struct {
	instanceID string
	to         netip.AddrPort
	sentAt     time.Time
	service    *serviceState // Whose budget is charged.
	// responded receives a value when the response arrives; nil if nothing waits for
	// it.
	responded chan struct{}
}

// Prober sends load probes and responds to those of others. It is safe for
// concurrent use, except that only one Run may be active.
type Prober struct {
	cfg     Config
	metrics metrics

	mu             sync.Mutex // Guards the fields down to pending.
	nodeBudget     budget
	nextProbeAt    time.Time // Earliest time of the node's next probe.
	pausedUntil    time.Time // Periodic probes pause until then, after a refused Reserve.
	responseBudget budget
	services       map[string]*serviceState
	pending        map[uint32]pendingProbe

	// Used only by Run.
	activeServices  []string // Names of the active services, in random order.
	activeUpdatedAt time.Time
}

// New returns a prober with the given settings.
func New(cfg Config) *Prober {
	setDefault(&cfg.Messages, defaultMessages)
	setDefault(&cfg.Bytes, defaultBytes)
	setDefault(&cfg.ResponseMessages, defaultMessages)
	setDefault(&cfg.ResponseBytes, defaultBytes)
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Prober{
		cfg:            cfg,
		metrics:        newMetrics(cfg.Scope),
		nodeBudget:     budget{maxMessages: cfg.Messages, maxBytes: cfg.Bytes},
		responseBudget: budget{maxMessages: cfg.ResponseMessages, maxBytes: cfg.ResponseBytes},
		services:       make(map[string]*serviceState),
		pending:        make(map[uint32]pendingProbe),
	}
}

// HandleResponse records the response to a probe. It drops a response that matches no
// pending probe, comes from another address or arrives after responseTimeout.
func (p *Prober) HandleResponse(from netip.AddrPort, payload []byte, now time.Time) {
	resp, err := decodeResponse(payload)
	if err != nil {
		p.metrics.malformedDatagrams.Inc(1)
		return
	}
	p.mu.Lock()
	pending, ok := p.pending[resp.nonce]
	ok = ok && pending.to == unmapped(from) && now.Sub(pending.sentAt) <= responseTimeout
	if ok {
		delete(p.pending, resp.nonce)
		p.refundRateLimit(pending, resp.load)
	}
	p.mu.Unlock()
	if !ok {
		p.metrics.unexpectedDatagrams.Inc(1)
		return
	}
	p.metrics.responsesReceived.Inc(1)
	p.cfg.Pool.Observe(pending.instanceID, resp.incarnation, resp.load, now)
	if pending.responded != nil {
		pending.responded <- struct{}{} // Does not block: the buffer has room for one value per probe.
	}
}

// refundRateLimit refunds the bytes that a response without a rate limit did not use. The
// mutex must be held.
func (p *Prober) refundRateLimit(pending pendingProbe, l sampler.Load) {
	if l.Rate().Limited() {
		p.metrics.chargedBytes.Inc(rateLimitBytes)
		return
	}
	pending.service.budget.refund(pending.sentAt, maxExchangeCost, rateLimitBytes)
	p.nodeBudget.refund(pending.sentAt, maxExchangeCost, rateLimitBytes)
}

// HandleProbe returns the response to a probe. It returns nil if the probe is
// malformed or meant for another instance, if this node has no upstream, or if the
// budget of responses is spent.
func (p *Prober) HandleProbe(_ netip.AddrPort, payload []byte) []byte {
	msg, err := decodeProbe(payload)
	if err != nil {
		p.metrics.malformedDatagrams.Inc(1)
		return nil
	}
	if p.cfg.OwnLoad == nil || msg.instanceHash != hashID(p.cfg.Self) {
		p.metrics.unexpectedDatagrams.Inc(1)
		return nil
	}
	payload = response{nonce: msg.nonce, incarnation: p.ownIncarnation(), load: p.cfg.OwnLoad.Load()}.encode()
	cost := len(payload) + datagramHeaderBytes
	p.mu.Lock()
	allowed := p.responseBudget.take(time.Now(), cost)
	p.mu.Unlock()
	if !allowed {
		p.metrics.responsesWithheld.Inc(1)
		return nil
	}
	p.metrics.responsesSent.Inc(1)
	p.metrics.chargedBytes.Inc(int64(cost))
	return payload
}

// Reserve charges one exchange of another kind of measurement, such as a read of a
// health endpoint, to the budgets of a service and of the node, and reports whether
// they allow it now. If they may allow it later, Reserve pauses periodic probes for up
// to budgetWindow to make room.
func (p *Prober) Reserve(service string, bytes int) bool {
	cfg := p.cfg.Source.Snapshot().Configuration()
	if cfg == nil || cfg.Service(service) == nil {
		return false
	}
	spec := cfg.Service(service).Spec()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(&spec)
	if !s.budget.fits(bytes) || !p.nodeBudget.fits(bytes) {
		return false
	}
	if !s.budget.allows(now, bytes) || !p.nodeBudget.allows(now, bytes) {
		p.pausedUntil = now.Add(budgetWindow)
		return false
	}
	p.pausedUntil = time.Time{}
	s.budget.take(now, bytes)
	p.nodeBudget.take(now, bytes)
	p.metrics.chargedBytes.Inc(int64(bytes))
	return true
}

// Run sends probes until dying is closed, and sleeps while none is due.
func (p *Prober) Run(dying <-chan struct{}) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-dying:
			return nil
		case <-timer.C:
			now := time.Now()
			timer.Reset(p.tick(now).Sub(now))
		}
	}
}

// ownIncarnation returns the incarnation of this node's instance, which may have
// increased since the start, or 0 if the instance was not announced yet.
func (p *Prober) ownIncarnation() uint64 {
	if in := p.cfg.Source.Snapshot().View().Instance(p.cfg.Self); in != nil {
		return in.Incarnation()
	}
	return 0
}

// tick sends the probes that are due and returns the time of the next tick.
func (p *Prober) tick(now time.Time) time.Time {
	snapshot := p.cfg.Source.Snapshot()
	if snapshot.Configuration() == nil {
		return now.Add(activeUpdateInterval)
	}
	p.updateActiveServices(snapshot.View(), now)
	wake := p.activeUpdatedAt.Add(activeUpdateInterval)
	if p.cfg.OnDemand {
		return wake
	}
	for _, name := range p.activeServices {
		service := snapshot.Configuration().Service(name)
		if service == nil {
			continue
		}
		spec := service.Spec()
		to, payload, due := p.nextProbe(&spec, snapshot.View(), now)
		for payload != nil {
			p.send(to, payload)
			to, payload, due = p.nextProbe(&spec, snapshot.View(), now)
		}
		if due.Before(wake) {
			wake = due
		}
	}
	return wake
}

// updateActiveServices updates the active services, and drops expired probes and the
// state of services that are no longer active.
func (p *Prober) updateActiveServices(view *registrar.View, now time.Time) {
	if age := now.Sub(p.activeUpdatedAt); age < activeUpdateInterval {
		return
	}
	p.activeUpdatedAt = now
	active := make(map[string]bool)
	for _, id := range p.cfg.Pool.SentSince(now.Add(-activePeriod)) {
		if in := view.Instance(id); in != nil {
			active[in.Service()] = true
		}
	}
	p.activeServices = p.activeServices[:0]
	for name := range active {
		p.activeServices = append(p.activeServices, name)
	}
	p.mu.Lock()
	p.cfg.Random.Shuffle(len(p.activeServices), func(i, j int) { p.activeServices[i], p.activeServices[j] = p.activeServices[j], p.activeServices[i] })
	p.mu.Unlock()
	p.dropExpired(active, now)
}

// dropExpired drops the pending probes that timed out, and the state of services
// that are not active and have nothing charged.
func (p *Prober) dropExpired(active map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nonce, pending := range p.pending {
		if now.Sub(pending.sentAt) > responseTimeout {
			delete(p.pending, nonce)
		}
	}
	for name, s := range p.services {
		s.dropExpired(now)
		if !active[name] && s.budget.empty(now) {
			delete(p.services, name)
		}
	}
}

// nextProbe returns the next probe for a service, charged to its budget and to the
// node's. If none is due, it returns a nil payload and when to check again.
func (p *Prober) nextProbe(spec *compiler.ServiceSpec, view *registrar.View, now time.Time) (netip.AddrPort, []byte, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(spec)
	perSecond := min(spec.ProbeMessages, spec.ProbeBytes/exchangeCost)
	if perSecond <= 0 {
		return netip.AddrPort{}, nil, now.Add(activeUpdateInterval)
	}
	if due := later(later(s.nextProbeAt, p.nextProbeAt), p.pausedUntil); due.After(now) {
		return netip.AddrPort{}, nil, due
	}
	if allowedAt := later(s.budget.allowedAt(now, maxExchangeCost), p.nodeBudget.allowedAt(now, maxExchangeCost)); allowedAt.After(now) {
		p.metrics.probesDeferred.Inc(1)
		return netip.AddrPort{}, nil, allowedAt
	}
	in := s.stalest(p.cfg.Pool, p.cfg.Self, view.Service(spec.Name), spec.SampleMaxAge, now)
	if in == nil {
		return netip.AddrPort{}, nil, now.Add(pollInterval)
	}
	s.budget.take(now, maxExchangeCost)
	p.nodeBudget.take(now, maxExchangeCost)
	s.nextProbeAt = followingProbeTime(s.nextProbeAt, perSecond, now)
	p.nextProbeAt = followingProbeTime(p.nextProbeAt, min(p.cfg.Messages, p.cfg.Bytes/exchangeCost), now)
	s.lastProbed[in.ID()] = now
	msg := probe{nonce: p.unusedNonce(), instanceHash: hashID(in.ID())}
	to := unmapped(in.Peer())
	p.pending[msg.nonce] = pendingProbe{instanceID: in.ID(), to: to, sentAt: now, service: s}
	return to, msg.encode(), now
}

// service returns the state of a service, with its budget limits up to date.
func (p *Prober) service(spec *compiler.ServiceSpec) *serviceState {
	s := p.services[spec.Name]
	if s == nil {
		s = newServiceState()
		p.services[spec.Name] = s
	}
	s.budget.maxMessages = spec.ProbeMessages
	s.budget.maxBytes = spec.ProbeBytes
	return s
}

// unusedNonce returns a random number that no pending probe uses.
func (p *Prober) unusedNonce() uint32 {
	for {
		n := p.cfg.Random.Uint32()
		if _, taken := p.pending[n]; !taken {
			return n
		}
	}
}

// send sends a probe that was charged before. It counts and logs a failure.
func (p *Prober) send(to netip.AddrPort, payload []byte) {
	p.metrics.probesSent.Inc(1)
	p.metrics.chargedBytes.Inc(exchangeCost)
	if err := p.cfg.Transport.Send(to, payload); err != nil {
		p.metrics.sendFailures.Inc(1)
		p.cfg.Log.Debug().Err(err).Stringer("to", to).Msg("Probe not sent.")
	}
}

// followingProbeTime returns the due time of the next probe, one interval after the due
// time of the last one. It makes up for at most pollInterval of a delay.
func followingProbeTime(due time.Time, perSecond int, now time.Time) time.Time {
	if earliest := now.Add(-pollInterval); due.Before(earliest) {
		due = earliest
	}
	return due.Add(time.Second / time.Duration(max(perSecond, 1)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func setDefault(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

// unmapped returns an IPv4-mapped IPv6 address as an IPv4 address, and any other
// address unchanged.
func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
