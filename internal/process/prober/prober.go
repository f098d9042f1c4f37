// Package prober keeps load samples of other instances fresh by small
// datagrams, within a budget that nothing exceeds.
//
// # Usage
//
//	p := prober.New(prober.Config{Pool: pool, Source: snapshots, Transport: socket, Self: id, ...})
//	t.Go(func() error { return p.Run(t.Dying()) })
//	answer := p.HandleProbe(from, payload)      // nil if there is nothing to send
//	p.HandleAnswer(from, payload, time.Now())
//
// Samples ride for free on the answers of requests. Probes fill only what
// those leave stale, for services that this node lately sent requests to: the
// instance with the oldest sample first, evenly spaced in time.
//
// A probe is charged with the bytes of its answer when it is sent, and with
// the headers of both datagrams, whether or not the answer comes. Three budgets
// bound what happens within any second: one for each service, which is in the
// configuration, one for all probes of the node, and one for the answers that
// it gives to others.
package prober

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/process/publisher"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// pollInterval is how often the prober looks for stale samples while a probe may
	// be sent and no sample is stale.
	pollInterval = 10 * time.Millisecond
	// activeRefreshInterval is how often it looks up which services are in use.
	activeRefreshInterval = 100 * time.Millisecond
	// activePeriod is how long a service counts as in use after a request.
	activePeriod = 5 * time.Second
	// responseTimeout is how long an answer is waited for.
	responseTimeout = time.Second
	// defaultMessages and defaultBytes bound, per second, the probes of a node
	// with their answers, and apart from that the answers that it gives.
	defaultMessages = 24
	defaultBytes    = defaultMessages * exchangeCost
)

// Pool holds the load samples of instances.
type Pool interface {
	Observe(instanceID string, incarnation uint64, l sampler.Load, now time.Time)
	Read(instanceID string, maxAge time.Duration, now time.Time) sampler.Reading
	SentSince(t time.Time) []string
}

// Source gives the configuration in force and the picture of the fleet.
type Source interface {
	Snapshot() *publisher.Snapshot
}

// Transport sends datagrams to the peer addresses of other nodes.
type Transport interface {
	Send(to netip.AddrPort, payload []byte) error
}

// LoadCounter tells the load of this node's own upstream.
type LoadCounter interface {
	Load() sampler.Load
}

// Config lists the settings of a Prober.
type Config struct {
	// Pool takes the samples.
	Pool Pool
	// Source tells which instances there are and what budgets hold.
	Source Source
	// Transport sends the probes.
	Transport Transport
	// Self is the id of this node's own instance.
	Self string
	// Own counts the load of the own upstream; nil if there is none, in which
	// case probes are not answered.
	Own LoadCounter
	// Messages and Bytes bound, per second, the probes of this node and the
	// bytes of those probes and their answers; 0 for the defaults.
	Messages, Bytes int
	// AnswerMessages and AnswerBytes bound, per second, the answers that this
	// node gives; 0 for the defaults.
	AnswerMessages, AnswerBytes int
	// OnDemand sends probes only when Refresh asks for them.
	OnDemand bool
	// Scope takes the metrics.
	Scope tally.Scope
	// Log takes the log lines.
	Log zerolog.Logger
	// Random is used under the prober's lock; nil for a generator with a random seed.
	Random *rand.Rand
}

// pendingProbe is a probe that was sent and not answered yet.
type pendingProbe struct {
	instanceID string
	to         netip.AddrPort
	sent       time.Time
	// responded gets a token with the answer; nil if nobody waits for it.
	responded chan struct{}
}

// Prober sends and answers load probes.
type Prober struct {
	cfg     Config
	metrics metrics

	mu                sync.Mutex // Guards all below.
	nodeBudget        budget
	nextProbeAt       time.Time // Before that the node sends no probe.
	reservedUntil     time.Time // Until then probes make room for what Reserve refused.
	responseBudget    budget
	services          map[string]*serviceState
	pending           map[uint32]pendingProbe
	activeServices    []string // Names of services, in random order.
	activeRefreshedAt time.Time
}

// New returns a prober with the given settings.
func New(cfg Config) *Prober {
	setDefault(&cfg.Messages, defaultMessages)
	setDefault(&cfg.Bytes, defaultBytes)
	setDefault(&cfg.AnswerMessages, defaultMessages)
	setDefault(&cfg.AnswerBytes, defaultBytes)
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Prober{
		cfg:            cfg,
		metrics:        newMetrics(cfg.Scope),
		nodeBudget:     budget{maxMessages: cfg.Messages, maxBytes: cfg.Bytes},
		responseBudget: budget{maxMessages: cfg.AnswerMessages, maxBytes: cfg.AnswerBytes},
		services:       make(map[string]*serviceState),
		pending:        make(map[uint32]pendingProbe),
	}
}

// HandleAnswer takes in the answer to a probe. An answer that was not asked
// for, comes from elsewhere or comes too late is dropped.
func (p *Prober) HandleAnswer(from netip.AddrPort, payload []byte, now time.Time) {
	resp, err := decodeResponse(payload)
	if err != nil {
		p.metrics.malformedDatagrams.Inc(1)
		return
	}
	p.mu.Lock()
	pending, ok := p.pending[resp.nonce]
	ok = ok && pending.to == unmapped(from) && now.Sub(pending.sent) <= responseTimeout
	if ok {
		delete(p.pending, resp.nonce)
	}
	p.mu.Unlock()
	if !ok {
		p.metrics.unexpectedDatagrams.Inc(1)
		return
	}
	p.metrics.responsesReceived.Inc(1)
	p.cfg.Pool.Observe(pending.instanceID, resp.incarnation, resp.load, now)
	if pending.responded != nil {
		pending.responded <- struct{}{} // It has room for all answers.
	}
}

// HandleProbe returns the answer to a probe, or nil if there is none: the
// probe is malformed or meant for another instance, or the budget for answers
// is spent.
func (p *Prober) HandleProbe(_ netip.AddrPort, payload []byte) []byte {
	msg, err := decodeProbe(payload)
	if err != nil {
		p.metrics.malformedDatagrams.Inc(1)
		return nil
	}
	if p.cfg.Own == nil || msg.instance != hashID(p.cfg.Self) {
		p.metrics.unexpectedDatagrams.Inc(1)
		return nil
	}
	p.mu.Lock()
	allowed := p.responseBudget.take(time.Now(), responseCost)
	p.mu.Unlock()
	if !allowed {
		p.metrics.responsesWithheld.Inc(1)
		return nil
	}
	p.metrics.responsesSent.Inc(1)
	p.metrics.chargedBytes.Inc(responseCost)
	return response{nonce: msg.nonce, incarnation: p.ownIncarnation(), load: p.cfg.Own.Load()}.encode()
}

// Reserve charges one exchange of another kind of measuring, such as a read of
// a health endpoint, to the budgets of a service and of the node. It reports
// whether they allow it now. If they do not yet, probes make room for it.
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
		p.reservedUntil = now.Add(budgetWindow)
		return false
	}
	p.reservedUntil = time.Time{}
	s.budget.take(now, bytes)
	p.nodeBudget.take(now, bytes)
	p.metrics.chargedBytes.Inc(int64(bytes))
	return true
}

// Run sends probes until dying is closed. It sleeps while none is due.
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

// ownIncarnation returns that of the own instance, which may have grown since the
// start, or 0 if it is not announced yet.
func (p *Prober) ownIncarnation() uint64 {
	if in := p.cfg.Source.Snapshot().View().Instance(p.cfg.Self); in != nil {
		return in.Incarnation()
	}
	return 0
}

// tick sends the probes that are due. It returns when to look again.
func (p *Prober) tick(now time.Time) time.Time {
	snapshot := p.cfg.Source.Snapshot()
	if snapshot.Configuration() == nil {
		return now.Add(activeRefreshInterval)
	}
	p.refreshActiveServices(snapshot.View(), now)
	wake := p.activeRefreshedAt.Add(activeRefreshInterval)
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

// refreshActiveServices looks up the services in use, and forgets probes and services
// that are of no use any more.
func (p *Prober) refreshActiveServices(view *registrar.View, now time.Time) {
	if age := now.Sub(p.activeRefreshedAt); age < activeRefreshInterval {
		return
	}
	p.activeRefreshedAt = now
	inUse := make(map[string]bool)
	for _, id := range p.cfg.Pool.SentSince(now.Add(-activePeriod)) {
		if in := view.Instance(id); in != nil {
			inUse[in.Service()] = true
		}
	}
	p.activeServices = p.activeServices[:0]
	for name := range inUse {
		p.activeServices = append(p.activeServices, name)
	}
	p.mu.Lock()
	p.cfg.Random.Shuffle(len(p.activeServices), func(i, j int) { p.activeServices[i], p.activeServices[j] = p.activeServices[j], p.activeServices[i] })
	p.mu.Unlock()
	p.dropExpired(inUse, now)
}

func (p *Prober) dropExpired(inUse map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nonce, pending := range p.pending {
		if now.Sub(pending.sent) > responseTimeout {
			delete(p.pending, nonce)
		}
	}
	for name, s := range p.services {
		s.dropExpired(now)
		if !inUse[name] && s.budget.empty(now) {
			delete(p.services, name)
		}
	}
}

// nextProbe returns the nextProbe probe for a service, charged to its budget and to the
// node's. If none is due, it returns nil and when to look again.
func (p *Prober) nextProbe(spec *compiler.ServiceSpec, view *registrar.View, now time.Time) (netip.AddrPort, []byte, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(spec)
	perSecond := min(spec.ProbeMessages, spec.ProbeBytes/exchangeCost)
	if perSecond <= 0 {
		return netip.AddrPort{}, nil, now.Add(activeRefreshInterval)
	}
	if due := later(later(s.nextProbeAt, p.nextProbeAt), p.reservedUntil); due.After(now) {
		return netip.AddrPort{}, nil, due
	}
	if allowedAt := later(s.budget.allowedAt(now, exchangeCost), p.nodeBudget.allowedAt(now, exchangeCost)); allowedAt.After(now) {
		p.metrics.probesDeferred.Inc(1)
		return netip.AddrPort{}, nil, allowedAt
	}
	in := s.stalest(p.cfg.Pool, p.cfg.Self, view.Service(spec.Name), spec.SampleMaxAge, now)
	if in == nil {
		return netip.AddrPort{}, nil, now.Add(pollInterval)
	}
	s.budget.take(now, exchangeCost)
	p.nodeBudget.take(now, exchangeCost)
	s.nextProbeAt = followingProbeTime(s.nextProbeAt, perSecond, now)
	p.nextProbeAt = followingProbeTime(p.nextProbeAt, min(p.cfg.Messages, p.cfg.Bytes/exchangeCost), now)
	s.lastProbed[in.ID()] = now
	msg := probe{nonce: p.unusedNonce(), instance: hashID(in.ID())}
	to := unmapped(in.Peer())
	p.pending[msg.nonce] = pendingProbe{instanceID: in.ID(), to: to, sent: now}
	return to, msg.encode(), now
}

// service returns what is held for a service, with the limits of its budget.
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

// unusedNonce returns a number that no pending probe bears.
func (p *Prober) unusedNonce() uint32 {
	for {
		n := p.cfg.Random.Uint32()
		if _, taken := p.pending[n]; !taken {
			return n
		}
	}
}

func (p *Prober) send(to netip.AddrPort, payload []byte) {
	p.metrics.probesSent.Inc(1)
	p.metrics.chargedBytes.Inc(exchangeCost)
	if err := p.cfg.Transport.Send(to, payload); err != nil {
		p.metrics.sendFailures.Inc(1)
		p.cfg.Log.Debug().Err(err).Stringer("to", to).Msg("Probe not sent.")
	}
}

// followingProbeTime returns the time of the next probe, spaced evenly; a time that was
// missed is made up for within one interval only.
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

// unmapped returns the address in the form of its own family.
func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
