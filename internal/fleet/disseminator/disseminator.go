// Package disseminator tells all processes of the fleet which requests were in flight when
// upstreams crashed, in UDP datagrams of at most 1,200 bytes.
//
// # Usage
//
//	d := disseminator.New(disseminator.Config{Store: quarantiner, Transport: courier, View: view, ...})
//	d.Start()
//	d.Spread(evidence) // For each change that this process has found.
//	...
//	err := d.Stop()
//
// # Protocol
//
// Evidence that is new is sent to many processes at once by the one that found it, those of its
// own service first, since these run the request next. Each process that learns of it sends it on
// to a few random others for some rounds. What is lost on the way, or was sent while a process
// was cut off or down, is found by comparison: a process with evidence sends a digest to a few
// random others every second, and one that has just started does so more often. Where digests
// differ, both send what they have.
//
// Nothing is sent while there is no evidence. All messages are paid from one budget.
package disseminator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// batchDelay is the time for which changes are collected before they are sent. The requests
	// in flight in one crash end within it.
	batchDelay = 5 * time.Millisecond
	// firstFanout is the number of processes that the one that found a change sends it to.
	firstFanout = 32
	// roundInterval is the time between the rounds in which new evidence is sent on, fanout the
	// number of random processes in each, and rounds their number.
	roundInterval = 100 * time.Millisecond
	fanout        = 3
	rounds        = 8
	// compareInterval is the time between two comparisons with fanout random processes, and
	// startCompareInterval that of a process that started less than startupPeriod ago.
	compareInterval      = time.Second
	startCompareInterval = 200 * time.Millisecond
	startupPeriod        = 5 * time.Second
	// idleInterval is the time between two looks for something to send while nothing is due.
	idleInterval = time.Hour
	// maxReplies bounds the datagrams of one response.
	maxReplies = 8
	// bytesPerSecond and burstBytes limit the bytes sent.
	bytesPerSecond = 4000
	burstBytes     = 32 << 10
)

// Store holds the evidence of this process. quarantiner.Quarantiner implements it.
type Store interface {
	// Merge adds evidence and returns the part that is new.
	Merge(evidence []quarantiner.Evidence) []quarantiner.Evidence
	// Evidence returns all evidence, the most important first.
	Evidence() []quarantiner.Evidence
	// Digest returns a digest of all evidence; 0 if there is none.
	Digest() uint64
}

// Transport sends and receives datagrams. courier.Courier implements it.
type Transport interface {
	Handle(kind courier.Kind, h courier.Handler)
	Send(kind courier.Kind, to netip.AddrPort, payload []byte) error
}

// Config lists what a Disseminator depends on.
type Config struct {
	// Instance is the id of this process's instance, and Service its service, if any.
	Instance, Service string
	Store             Store
	Transport         Transport
	// View returns the latest view of the fleet.
	View   func() *registrar.View
	Random *rand.Rand
	Scope  tally.Scope
	Log    zerolog.Logger
}

// Disseminator exchanges evidence with the other processes.
type Disseminator struct {
	cfg       Config
	malformed tally.Counter
	dropped   tally.Counter // Messages that the budget did not allow.
	sentBytes tally.Counter
	wake      chan struct{} // Holds a token if there is something new to send.
	tomb      tomb.Tomb

	mu sync.Mutex // Guards the fields below.
	// fresh holds the evidence that is still sent on.
	fresh       map[fingerprinter.Fingerprint]*freshEvidence
	budget      budget
	startedAt   time.Time
	nextRound   time.Time
	nextCompare time.Time
}

// freshEvidence is evidence that is new in this process.
type freshEvidence struct {
	evidence   quarantiner.Evidence
	roundsLeft int
	// own reports whether this process has found it and not sent it yet.
	own bool
}

// New returns a disseminator that responds to messages immediately and sends its own after
// Start.
func New(cfg Config) *Disseminator {
	now := time.Now()
	cfg.Log = logger.Part(cfg.Log, "disseminator")
	d := &Disseminator{
		cfg:       cfg,
		malformed: cfg.Scope.Counter("malformed"),
		dropped:   cfg.Scope.Counter("dropped"),
		sentBytes: cfg.Scope.Counter("sent_bytes"),
		wake:      make(chan struct{}, 1),
		fresh:     make(map[fingerprinter.Fingerprint]*freshEvidence),
		budget:    newBudget(now),
		startedAt: now,
	}
	cfg.Transport.Handle(courier.KindCrash, d.receive)
	return d
}

// Start starts sending.
func (d *Disseminator) Start() { d.tomb.Go(d.run) }

// Stop ends sending.
func (d *Disseminator) Stop() error {
	d.tomb.Kill(nil)
	if err := d.tomb.Wait(); err != nil {
		return fmt.Errorf("stop disseminator: %w", err)
	}
	return nil
}

// Spread sends a change that this process has found to the others. It does not block.
func (d *Disseminator) Spread(e quarantiner.Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fresh[e.Fingerprint] = &freshEvidence{evidence: e, roundsLeft: rounds, own: true}
	d.wakeUp()
}

func (d *Disseminator) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Disseminator) run() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.wake:
			time.Sleep(batchDelay)
		case <-timer.C:
		}
		timer.Reset(d.act(time.Now()))
	}
}

// act sends what is due and returns the time until it must be called again.
func (d *Disseminator) act(now time.Time) time.Duration {
	digest := d.cfg.Store.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendOwn(digest, now)
	d.sendRound(digest, now)
	d.compare(digest, now)
	return d.nextAction(digest, now)
}

// nextAction returns the time until something is due, if nothing wakes the process before.
func (d *Disseminator) nextAction(digest uint64, now time.Time) time.Duration {
	next := idleInterval
	if digest != 0 || d.startingUp(now) {
		next = d.nextCompare.Sub(now)
	}
	if len(d.fresh) > 0 {
		next = min(next, d.nextRound.Sub(now))
	}
	return max(next, time.Millisecond)
}

// sendOwn sends what this process has found to many others.
func (d *Disseminator) sendOwn(digest uint64, now time.Time) {
	var list []quarantiner.Evidence
	for _, f := range d.fresh {
		if f.own {
			f.own = false
			list = append(list, f.evidence)
		}
	}
	if len(list) == 0 {
		return
	}
	messages := pages(kindPush, digest, list)
	for _, peer := range d.firstPeers() {
		for _, m := range messages {
			d.send(peer, m, now)
		}
	}
}

// sendRound sends all that is new on to a few random others.
func (d *Disseminator) sendRound(digest uint64, now time.Time) {
	if len(d.fresh) == 0 || now.Before(d.nextRound) {
		return
	}
	d.nextRound = now.Add(roundInterval)
	var list []quarantiner.Evidence
	for fingerprint, f := range d.fresh {
		list = append(list, f.evidence)
		if f.roundsLeft--; f.roundsLeft <= 0 {
			delete(d.fresh, fingerprint)
		}
	}
	messages := pages(kindPush, digest, list)
	for _, peer := range d.randomPeers() {
		for _, m := range messages {
			d.send(peer, m, now)
		}
	}
}

// compare sends the digest to a few random others, if there is evidence or the process has
// just started.
func (d *Disseminator) compare(digest uint64, now time.Time) {
	starting := d.startingUp(now)
	if digest == 0 && !starting || now.Before(d.nextCompare) {
		return
	}
	d.nextCompare = now.Add(compareInterval)
	if starting {
		d.nextCompare = now.Add(startCompareInterval)
	}
	for _, peer := range d.randomPeers() {
		d.send(peer, message{kind: kindCompare, digest: digest}, now)
	}
}

func (d *Disseminator) startingUp(now time.Time) bool { return now.Sub(d.startedAt) < startupPeriod }

// receive handles one datagram.
func (d *Disseminator) receive(from netip.AddrPort, payload []byte) {
	now := time.Now()
	m, err := decodeMessage(payload, now)
	if err != nil {
		d.malformed.Inc(1)
		d.cfg.Log.Debug().Err(err).Stringer("from", from).Msg("Message ignored.")
		return
	}
	if len(m.evidence) > 0 {
		d.sendOn(d.cfg.Store.Merge(m.evidence))
	}
	if m.kind != kindCompare && m.kind != kindLastReply {
		return
	}
	digest := d.cfg.Store.Digest()
	if digest == m.digest {
		return
	}
	kind := kindReply
	if m.kind == kindLastReply {
		kind = kindPush
	}
	d.sendAll(from, kind, digest, now)
}

// sendOn lets changes that another process has found be sent on.
func (d *Disseminator) sendOn(changed []quarantiner.Evidence) {
	if len(changed) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changed {
		known := d.fresh[e.Fingerprint]
		d.fresh[e.Fingerprint] = &freshEvidence{evidence: e, roundsLeft: rounds, own: known != nil && known.own}
	}
	d.wakeUp()
}

// sendAll sends all evidence, or as much of it as maxReplies datagrams hold: the most important
// in half of them, and a random part of the rest.
func (d *Disseminator) sendAll(to netip.AddrPort, kind messageKind, digest uint64, now time.Time) {
	evidence := d.cfg.Store.Evidence()
	d.mu.Lock()
	defer d.mu.Unlock()
	messages := pages(kind, digest, evidence)
	if len(messages) > maxReplies {
		rest := messages[maxReplies/2:]
		d.cfg.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		messages = messages[:maxReplies]
	}
	d.mix(messages)
	if kind == kindReply {
		if len(messages) == 0 {
			messages = []message{{digest: digest}}
		}
		messages[len(messages)-1].kind = kindLastReply
	}
	for _, m := range messages {
		d.send(to, m, now)
	}
}

// mix reorders the messages of a response, the most important one of which is the first. Each place
// gets, with equal chances, the message that stands there or a random one of the rest: a budget that
// allows only the first of each response must not withhold the rest from all others for good.
func (d *Disseminator) mix(messages []message) {
	for i := range messages {
		if d.cfg.Random.IntN(2) == 0 {
			continue
		}
		j := i + d.cfg.Random.IntN(len(messages)-i)
		messages[i], messages[j] = messages[j], messages[i]
	}
}

// pages distributes evidence over messages that fit a datagram.
func pages(kind messageKind, digest uint64, evidence []quarantiner.Evidence) []message {
	var messages []message
	size := courier.MaxPayload
	for _, e := range evidence {
		if size+encodedBytes(e) > courier.MaxPayload {
			messages = append(messages, message{kind: kind, digest: digest})
			size = headerBytes
		}
		last := &messages[len(messages)-1]
		last.evidence = append(last.evidence, e)
		size += encodedBytes(e)
	}
	return messages
}

// send sends a message if the budget allows it. A message that is lost is made up for by the
// next comparison.
func (d *Disseminator) send(to netip.AddrPort, m message, now time.Time) {
	payload := m.encode(now)
	if !d.budget.take(len(payload)+courier.Overhead, now) {
		d.dropped.Inc(1)
		return
	}
	d.sentBytes.Inc(int64(len(payload) + courier.Overhead))
	if err := d.cfg.Transport.Send(courier.KindCrash, to, payload); err != nil {
		d.dropped.Inc(1)
		d.cfg.Log.Debug().Err(err).Stringer("to", to).Msg("Message not sent.")
	}
}

// firstPeers returns up to firstFanout random processes, those of the own service first.
func (d *Disseminator) firstPeers() []netip.AddrPort {
	var peers, others []netip.AddrPort
	for _, in := range d.peers() {
		if in.Service() == d.cfg.Service {
			peers = append(peers, in.Peer())
			continue
		}
		others = append(others, in.Peer())
	}
	for _, list := range [][]netip.AddrPort{peers, others} {
		d.cfg.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	peers = append(peers, others...)
	return peers[:min(len(peers), firstFanout)]
}

// randomPeers returns fanout random processes.
func (d *Disseminator) randomPeers() []netip.AddrPort {
	list := d.peers()
	var peers []netip.AddrPort
	for len(peers) < fanout && len(list) > 0 {
		i := d.cfg.Random.IntN(len(list))
		peers = append(peers, list[i].Peer())
		list[i] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	return peers
}

// peers returns the other instances that have not left.
func (d *Disseminator) peers() []*registrar.Instance {
	var list []*registrar.Instance
	for _, in := range d.cfg.View().Instances() {
		if in.ID() != d.cfg.Instance && in.State() != registrar.StateLeft {
			list = append(list, in)
		}
	}
	return list
}
