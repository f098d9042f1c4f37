// Package tracker keeps the requests that have not ended yet, and how far each one is, for a
// node that stops while some of them are open. It can interrupt those that have no response yet.
//
// # Usage
//
//	requests := tracker.New()
//	r := requests.Begin(id, method, path)
//	defer r.End()
//	r.BeginAttempt(instanceID)
//	...
//	n := requests.Log(log, "Request is open at the end of the stop.")
package tracker

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// maxLines is the maximum number of requests that Log names. It counts the others.
const maxLines = 20

// Stage is how far a request is.
type Stage string

const (
	// Arrived means that the head of the request was read, and nothing else was done yet.
	Arrived Stage = "arrived"
	// ReceivingBody means that the body is being read from the caller.
	ReceivingBody Stage = "receiving-body"
	// Choosing means that no attempt is running: an instance is being chosen or awaited.
	Choosing Stage = "choosing"
	// Sent means that an attempt is running at an instance, which has not responded yet.
	Sent Stage = "sent"
	// Queued means that the request waits for a slot of the upstream.
	Queued Stage = "queued"
	// Running means that the request was sent to the upstream, which has not responded yet.
	Running Stage = "running"
	// Responding means that the response is being written to the caller.
	Responding Stage = "responding"
)

// Tracker keeps the requests that have not ended. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[*Request]struct{}
}

// New returns a tracker without requests.
func New() *Tracker { return &Tracker{open: make(map[*Request]struct{})} }

// Begin adds a request in the stage Arrived.
func (t *Tracker) Begin(id, method, path string) *Request {
	now := time.Now()
	r := &Request{tracker: t, id: id, method: method, path: path, arrivedAt: now, stage: Arrived, stageSince: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[r] = struct{}{}
	return r
}

// Len returns the number of requests that have not ended.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Log writes a line with the given message for each request that has not ended, oldest first,
// and returns their number. The last line has the number of requests that got none. It calls
// each of the observers with the stage of each request.
func (t *Tracker) Log(log zerolog.Logger, message string, observers ...func(Stage)) int {
	t.mu.Lock()
	open := slices.SortedFunc(maps.Keys(t.open), func(a, b *Request) int { return a.arrivedAt.Compare(b.arrivedAt) })
	t.mu.Unlock()
	now := time.Now()
	for i, r := range open {
		for _, observe := range observers {
			observe(r.currentStage())
		}
		if i >= maxLines {
			continue
		}
		event := log.Warn()
		if i == maxLines-1 && len(open) > maxLines {
			event = event.Int("left-out", len(open)-maxLines)
		}
		r.describe(event, now)
		event.Msg(message)
	}
	return len(open)
}

// Interrupt interrupts the requests that have not ended and to which no response is being written.
func (t *Tracker) Interrupt() {
	t.mu.Lock()
	open := slices.Collect(maps.Keys(t.open))
	t.mu.Unlock()
	for _, r := range open {
		r.interruptUnanswered()
	}
}

// Request is a request that is being handled.
type Request struct {
	tracker          *Tracker
	id, method, path string
	arrivedAt        time.Time
	bytes            atomic.Int64

	mu         sync.Mutex // Guards the fields below.
	stage      Stage
	stageSince time.Time
	instance   string
	attempts   int
	deadline   time.Time
	interrupt  func(Stage)
}

// SetDeadline records the deadline of the request.
func (r *Request) SetDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
}

// OnInterrupt sets what interrupts the request. It is called with the stage of the request, and
// must not block.
func (r *Request) OnInterrupt(interrupt func(Stage)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupt = interrupt
}

// interruptUnanswered interrupts the request unless its response is being written.
func (r *Request) interruptUnanswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupt != nil && r.stage != Responding {
		r.interrupt(r.stage)
	}
}

// Enter records that the request is in a stage.
func (r *Request) Enter(stage Stage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage, r.stageSince = stage, time.Now()
}

// BeginAttempt records that an attempt was sent to an instance.
func (r *Request) BeginAttempt(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage != Responding { // Then it fetches the rest of the response, or comes too late.
		r.stage, r.stageSince = Sent, time.Now()
	}
	r.instance = instance
	r.attempts++
}

// AddBytes adds to the number of bytes of the response body that the connection to the caller
// has taken.
func (r *Request) AddBytes(n int) { r.bytes.Add(int64(n)) }

// End removes the request.
func (r *Request) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	delete(r.tracker.open, r)
}

func (r *Request) currentStage() Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage
}

// describe adds what is known of the request to a log line.
func (r *Request) describe(e *zerolog.Event, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Str("request", r.id).Str("method", r.method).Str("path", r.path).Str("stage", string(r.stage)).
		Dur("stage-ms", now.Sub(r.stageSince)).Dur("after-ms", now.Sub(r.arrivedAt)).Int64("bytes", r.bytes.Load())
	if r.attempts > 0 {
		e.Str("instance", r.instance).Int("attempts", r.attempts)
	}
	if !r.deadline.IsZero() {
		e.Dur("left-ms", r.deadline.Sub(now))
	}
}
