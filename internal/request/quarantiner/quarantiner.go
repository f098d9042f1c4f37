// Package quarantiner keeps a request that crashes the upstreams that run it from crashing
// more, however it returns: as a retry, a hedge or a resumption, or as a new call at any node.
//
// # Usage
//
//	q := quarantiner.New(quarantiner.Config{RunsTrial: runsTrial, OnChange: spread, ...})
//	w := crashwatcher.New(crashwatcher.Config{Observer: q, ...})
//	err := q.Check(ctx, r)       // Before the request waits for a slot.
//	release, err := q.Start(r)   // Before it is sent to the own upstream.
//	...
//	release()
//	changed := q.Merge(evidence) // From other nodes.
//
// # Evidence
//
// A request that was in flight when an upstream ended is suspected of that crash. A node or
// machine that ends with its upstream reports nothing, so that a loss of power makes no request
// suspected.
//
// A run that ends with a response proves that the request does not crash what runs it: the
// crashes that its node knows of do not count any more. So a popular request, which is in flight
// in most crashes, is cleared faster than it is suspected.
//
// After two crashes in a row a request runs apart from other suspected ones, which tells one that
// crashes upstreams from those that only were in flight beside it. After three it runs at one
// instance only, and once it has crashed an upstream while it ran apart, not at all for some time.
//
// Crashes are known by an id and are marked as survived, never removed before their time, so that
// nodes may merge what they know in any order, and more than once. No clock is compared: messages
// hold ages.
package quarantiner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// suspectedRetryAfter is the Retry-After of a request that must not run beside the suspected one
// that runs, or not at this instance.
const suspectedRetryAfter = 300 * time.Millisecond

// Config lists what a Quarantiner depends on.
type Config struct {
	// RunsTrial reports whether this instance is the one of its service that runs a request
	// on trial.
	RunsTrial func(t Trial) bool
	// OnChange is called with evidence that this node has found. It must not block.
	OnChange func(Evidence)
	Scope    tally.Scope
	Log      zerolog.Logger
}

// Quarantiner holds the evidence against requests. It is safe for concurrent use.
type Quarantiner struct {
	cfg         Config
	entryGauge  tally.Gauge
	quarantined tally.Gauge
	// unbuffered counts the requests that were refused since there was no memory for their bodies.
	unbuffered tally.Counter
	memory     memory
	// entries is the size of the table. It is read without the mutex.
	entries atomic.Int64

	mu    sync.Mutex // Guards the fields below.
	table *table
	// inFlight holds the requests at the own upstream. apart is the one of them that must not run
	// beside another suspected one, or nil, and apartFingerprint its fingerprint.
	inFlight         map[*fingerprinter.Request]struct{}
	apart            *fingerprinter.Request
	apartFingerprint fingerprinter.Fingerprint
}

// New returns a quarantiner without evidence.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{
		cfg:         cfg,
		entryGauge:  cfg.Scope.Gauge("crash_evidence"),
		quarantined: cfg.Scope.Gauge("quarantined_requests"),
		unbuffered:  cfg.Scope.Counter("bodies_without_memory"),
		memory:      memory{free: maxBuffered},
		table:       newTable(),
		inFlight:    make(map[*fingerprinter.Request]struct{}),
	}
}

// Empty reports whether there is no evidence against any request.
func (q *Quarantiner) Empty() bool { return q.entries.Load() == 0 }

// Refusal returns the refusal of a request in quarantine, or nil for any other. It does not read
// the body: it returns nil for a request whose body is not known.
func (q *Quarantiner) Refusal(r *fingerprinter.Request) *refuser.Refusal {
	f, ok := q.knownFingerprint(r)
	if !ok {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.table.standing(f, now) != Quarantined {
		return nil
	}
	return q.quarantineRefusal(f, now)
}

// Trial returns the trial of a request that runs at one instance of its service only. It returns
// false for any other request, and for one whose body is not known.
func (q *Quarantiner) Trial(r *fingerprinter.Request) (Trial, bool) {
	f, ok := q.knownFingerprint(r)
	if !ok {
		return Trial{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.table.standing(f, now) != OnTrial {
		return Trial{}, false
	}
	return q.table.entries[f].trial(now), true
}

// MayHold reports whether the body of a request must be known before it is sent: there is a request
// that must not run like any other, and that differs from it at most by its body.
func (q *Quarantiner) MayHold(r *fingerprinter.Request) bool {
	if !q.hasHead(r) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for f, e := range q.table.entries {
		if f.Head() == r.Head() && e.Standing(now) != Clear {
			return true
		}
	}
	return false
}

// Buffer reads the body of a request into memory, which is free again once ctx is done. It returns a
// *refuser.Refusal if there is no memory, and another error if the body cannot be read.
func (q *Quarantiner) Buffer(ctx context.Context, r *fingerprinter.Request) error {
	taken := 0
	err := r.Buffer(func(n int) bool {
		if !q.memory.take(n) {
			return false
		}
		taken += n
		return true
	})
	context.AfterFunc(ctx, func() { q.memory.give(taken) })
	if errors.Is(err, fingerprinter.ErrNoMemory) {
		q.unbuffered.Inc(1)
		return refuser.New(classifier.NotRun, classifier.ReasonSuspected).WithRetryAfter(suspectedRetryAfter)
	}
	if err != nil {
		return fmt.Errorf("recognize the request: %w", err)
	}
	return nil
}

// Check returns a *refuser.Refusal if the request must not run now. If MayHold is true, it reads a
// streamed body like Buffer, and returns another error if that fails.
func (q *Quarantiner) Check(ctx context.Context, r *fingerprinter.Request) error {
	if r.Streamed() && q.MayHold(r) {
		if err := q.Buffer(ctx, r); err != nil {
			return err
		}
	}
	if !q.hasHead(r) {
		return nil
	}
	f, ok := r.Fingerprint()
	if !ok {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(f, time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

// Start records that a request is about to be sent to the own upstream, until release is called.
// It returns a *refuser.Refusal if the request must not run now. Check must have been called before.
func (q *Quarantiner) Start(r *fingerprinter.Request) (release func(), err error) {
	f, known := q.knownFingerprint(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if known {
		now := time.Now()
		if refusal := q.refusal(f, now); refusal != nil {
			return nil, refusal
		}
		if q.table.standing(f, now) != Clear {
			q.apart, q.apartFingerprint = r, f
		}
	}
	q.inFlight[r] = struct{}{}
	return func() { q.release(r) }, nil
}

// release ends the time for which a request is in flight.
func (q *Quarantiner) release(r *fingerprinter.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.inFlight, r)
	if q.apart == r {
		q.apart = nil
	}
}

// suspectInFlight reports whether a request is in flight that runs apart, or that has been in
// flight in a crash. The latter may have started before that was known.
func (q *Quarantiner) suspectInFlight() bool {
	if q.apart != nil {
		return true
	}
	for r := range q.inFlight {
		if q.table.heads[r.Head()] == 0 {
			continue
		}
		f, ok := r.Fingerprint()
		if e := q.table.entries[f]; ok && e != nil && e.Streak() > 0 {
			return true
		}
	}
	return false
}

// Merge adds evidence of another node. It returns the part that is new here.
func (q *Quarantiner) Merge(evidence []Evidence) []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var changed []Evidence
	for _, e := range evidence {
		before := q.table.standing(e.Fingerprint, now)
		if !q.table.merge(e, now) {
			continue
		}
		changed = append(changed, q.table.entries[e.Fingerprint].clone())
		q.logStanding(e.Fingerprint, before, "another node", now)
	}
	q.updateSize()
	return changed
}

// Evidence returns all evidence, that of the most crashes first.
func (q *Quarantiner) Evidence() []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.expire(time.Now())
	q.updateSize()
	return q.table.all()
}

// Digest returns a digest of the evidence, by which nodes find that they know the same; 0 if
// there is none.
func (q *Quarantiner) Digest() uint64 {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.expire(time.Now())
	q.updateSize()
	return q.table.digest()
}

// Lift ends the quarantine or the suspicion of a request at the wish of an operator. It reports
// whether there was one.
func (q *Quarantiner) Lift(f fingerprinter.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.survive(f, "an operator", time.Now())
}

// knownFingerprint returns the fingerprint of a request if there may be evidence against it. It
// returns false if there is none, or if a streamed body has not been read.
func (q *Quarantiner) knownFingerprint(r *fingerprinter.Request) (fingerprinter.Fingerprint, bool) {
	if !q.hasHead(r) {
		return fingerprinter.Fingerprint{}, false
	}
	return r.Fingerprint()
}

// hasHead reports whether there is evidence about a request that differs from r at most by its
// body.
func (q *Quarantiner) hasHead(r *fingerprinter.Request) bool {
	if q.Empty() {
		return false
	}
	head := r.Head()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.heads[head] > 0
}

// refusal returns the refusal of a request that must not run now at the own upstream, or nil.
func (q *Quarantiner) refusal(f fingerprinter.Fingerprint, now time.Time) *refuser.Refusal {
	standing := q.table.standing(f, now)
	switch {
	case standing == Clear:
		return nil
	case standing == Quarantined:
		return q.quarantineRefusal(f, now)
	case q.suspectInFlight(), standing == OnTrial && !q.cfg.RunsTrial(q.table.entries[f].trial(now)):
		return refuser.New(classifier.NotRun, classifier.ReasonSuspected).WithRetryAfter(suspectedRetryAfter)
	}
	return nil
}

func (q *Quarantiner) quarantineRefusal(f fingerprinter.Fingerprint, now time.Time) *refuser.Refusal {
	retryAfter := q.table.entries[f].HeldUntil().Sub(now)
	return refuser.New(classifier.NotRun, classifier.ReasonQuarantined).WithRetryAfter(retryAfter)
}

// Crashed implements crashwatcher.Observer.
func (q *Quarantiner) Crashed(c crashwatcher.Crash, f fingerprinter.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.table.standing(f, c.At)
	apart := q.apart != nil && q.apartFingerprint == f
	if !q.table.merge(Evidence{Fingerprint: f, Crashes: []Crash{{Crash: c, Apart: apart}}}, c.At) {
		return
	}
	q.updateSize()
	q.logStanding(f, before, "this node", c.At)
	q.cfg.OnChange(q.table.entries[f].clone())
}

// Survived implements crashwatcher.Observer.
func (q *Quarantiner) Survived(r *fingerprinter.Request) {
	f, ok := q.knownFingerprint(r)
	if !ok {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.survive(f, "a response", time.Now())
}

// survive marks the crashes of a request as survived. It reports whether any was not.
func (q *Quarantiner) survive(f fingerprinter.Fingerprint, cause string, now time.Time) bool {
	e := q.table.entries[f]
	if e == nil {
		return false
	}
	before := q.table.standing(f, now)
	if !e.survive() {
		return false
	}
	q.logStanding(f, before, cause, now)
	q.updateSize()
	q.cfg.OnChange(e.clone())
	return true
}

// logStanding logs a change of the standing of a request.
func (q *Quarantiner) logStanding(f fingerprinter.Fingerprint, before Standing, source string, now time.Time) {
	e := q.table.entries[f]
	after := q.table.standing(f, now)
	if after == before {
		return
	}
	q.cfg.Log.Warn().Stringer("fingerprint", f).Stringer("before", before).Stringer("standing", after).
		Int("crashes-in-a-row", e.Streak()).Str("source", source).Dur("age-ms", now.Sub(e.Newest())).
		Dur("hold-ms", max(e.HeldUntil().Sub(now), 0)).Msg("Standing of a request changed.")
}

// updateSize publishes the size of the table.
func (q *Quarantiner) updateSize() {
	q.entries.Store(int64(len(q.table.entries)))
	q.entryGauge.Update(float64(len(q.table.entries)))
	held := 0
	for _, e := range q.table.entries {
		if !e.HeldUntil().IsZero() {
			held++
		}
	}
	q.quarantined.Update(float64(held))
}
