// Package recognizer recognizes callers' retries. It estimates when the caller of a
// request made its first attempt, so that the latency goal counts from there: a retry
// that has already missed its goal must not delay requests that can still meet theirs.
//
// # Usage
//
//	r := recognizer.New()
//	req := recognizer.Request{Method: "GET", Host: "vitrina", Path: "/ocre", Remaining: timeout, ArrivedAt: time.Now()}
//	firstAttemptAt := r.FirstAttempt(req, routeName)
//	...
//	r.RecordFailure(req, firstAttemptAt) // The caller may retry after this response.
//
// A caller retries with the same deadline. A request is therefore a retry if it is for
// the same URL as one that failed here and ends at the same time. Retries of requests
// that this process did not see, such as those sent before a restart, are recognized by
// a timeout that is much shorter than the usual one of the route.
package recognizer

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// deadlineTolerance is the difference up to which two deadlines count as equal. It
	// covers the time from the caller's clock reading to the arrival of the request.
	deadlineTolerance = 100 * time.Millisecond
	// maxFailures bounds the remembered failures.
	maxFailures = 4096
	// cleanupInterval is the shortest time between removals of expired failures.
	cleanupInterval = time.Second
)

// Request identifies one attempt of a caller.
type Request struct {
	// Method, Host, Path and Query identify the resource.
	Method, Host, Path, Query string
	// Remaining is the timeout that the caller sent; 0 if it sent none.
	Remaining time.Duration
	ArrivedAt time.Time
}

// target identifies the resource of a request.
type target struct{ method, host, path, query string }

// failureKey is the hash of the target of the requests that may be retries of a failed one. It keeps
// no part of the request.
type failureKey uint64

// failure is a request that failed and that its caller may retry.
type failure struct{ firstAttemptAt, deadline time.Time }

// Recognizer remembers failed requests and the usual timeouts of routes. It is safe for
// concurrent use.
type Recognizer struct {
	trackers sync.Map // Route name to *timeoutTracker.
	seed     maphash.Seed

	mu          sync.Mutex // Guards the fields below.
	failures    map[failureKey]failure
	nextCleanup time.Time
}

// New returns a recognizer that knows no requests.
func New() *Recognizer {
	return &Recognizer{seed: maphash.MakeSeed(), failures: make(map[failureKey]failure)}
}

// FirstAttempt returns the estimated time of the caller's first attempt, which is the
// arrival of req unless that is recognized as a retry. route is the name of its route, or
// empty if callers of the route have no common timeout.
func (r *Recognizer) FirstAttempt(req Request, route string) time.Time {
	if req.Remaining <= 0 {
		return req.ArrivedAt
	}
	elapsed := time.Duration(0)
	if route != "" {
		elapsed = r.tracker(route).elapsed(req.Remaining, req.ArrivedAt)
	}
	if failed, ok := r.earlierFailure(req); ok {
		return failed.firstAttemptAt
	}
	return req.ArrivedAt.Add(-elapsed)
}

// RecordFailure records that a request ended in a way after which its caller may retry.
func (r *Recognizer) RecordFailure(req Request, firstAttemptAt time.Time) {
	if req.Remaining <= 0 {
		return
	}
	key := r.key(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(req.ArrivedAt)
	if len(r.failures) < maxFailures {
		r.failures[key] = failure{firstAttemptAt: firstAttemptAt, deadline: req.deadline()}
	}
}

// earlierFailure returns the failed attempt that req is a retry of.
func (r *Recognizer) earlierFailure(req Request) (failure, bool) {
	key := r.key(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	failed, ok := r.failures[key]
	if !ok || req.deadline().Sub(failed.deadline).Abs() > deadlineTolerance {
		return failure{}, false
	}
	return failed, true
}

// removeExpired removes the failures whose deadlines have passed.
func (r *Recognizer) removeExpired(now time.Time) {
	if now.Before(r.nextCleanup) {
		return
	}
	r.nextCleanup = now.Add(cleanupInterval)
	for key, failed := range r.failures {
		if failed.deadline.Before(now) {
			delete(r.failures, key)
		}
	}
}

// tracker returns the tracker of a route, creating it on first use.
func (r *Recognizer) tracker(route string) *timeoutTracker {
	if found, ok := r.trackers.Load(route); ok {
		return found.(*timeoutTracker)
	}
	found, _ := r.trackers.LoadOrStore(route, &timeoutTracker{})
	return found.(*timeoutTracker)
}

func (req Request) deadline() time.Time { return req.ArrivedAt.Add(req.Remaining) }

func (r *Recognizer) key(req Request) failureKey {
	return failureKey(maphash.Comparable(r.seed, target{req.Method, req.Host, req.Path, req.Query}))
}
