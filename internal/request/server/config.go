package server

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// Result is the result of one admitted request.
type Result struct {
	// Latency is the time from admission until the response header.
	Latency time.Duration
	// Failed reports whether there was an error, a shed request or a 5xx status.
	Failed bool
	// Abandoned reports whether the request was canceled or never sent. The result then
	// says nothing about the upstream.
	Abandoned bool
}

// Permit allows sending one request to the upstream.
type Permit interface {
	// UnslowedLatency estimates what the measured latency would have been without a
	// slowdown of the upstream. It returns false if there is no estimate.
	UnslowedLatency(latency time.Duration) (time.Duration, bool)
	// Done releases the slot. It must be called exactly once.
	Done(Result)
}

// AdmissionRequest holds what admission needs to know about one request.
type AdmissionRequest struct {
	Priority compiler.Priority
	Deadline time.Time
	// LatencyGoalTime is the time until which a response is worth most; the zero time
	// stands for the deadline.
	LatencyGoalTime time.Time
	// ExpectedWork is the expected duration on an upstream without a slowdown; 0 if
	// unknown.
	ExpectedWork time.Duration
	// Retried reports whether this is not the first attempt of the request.
	Retried bool
	// Organisation is the name of the caller's organisation; empty if it has none.
	Organisation string
	// Nested reports whether a running request made the call.
	Nested bool
	// PreferLocal reports whether a wait at this instance is better than an attempt at one
	// in another failure domain.
	PreferLocal bool
}

// Admitter limits the concurrent requests at the upstream.
type Admitter interface {
	// Admit returns a permit, or an error that may be an AdmissionRefusal.
	Admit(ctx context.Context, req AdmissionRequest) (Permit, error)
	// Load returns the current load in the format of HeaderLoad.
	Load() string
	// Leave makes Admit refuse all further requests.
	Leave()
}

// AdmissionRefusal is the error of an Admitter that refused a request.
type AdmissionRefusal interface {
	error
	Reason() classifier.Reason
	RetryAfter() time.Duration
}

// Requester sends a request once and returns the response. It never replays a request.
type Requester interface {
	DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits) (*http.Response, error)
}

// Link schedules large responses on the network link of the instance.
type Link interface {
	// Begin waits until a response of the given size may be sent and returns its body,
	// which must be closed.
	Begin(ctx context.Context, size int, body io.ReadCloser) io.ReadCloser
}

// SnapshotSource returns the configuration in force.
type SnapshotSource interface {
	Snapshot() *publisher.Snapshot
}

// UpstreamTracker identifies the process that currently serves the upstream's address.
type UpstreamTracker interface {
	// Current returns its id and whether it accepts new requests.
	Current() (id string, available bool)
}

// Notices exchanges with other nodes what the upstream says of itself, in the format of
// HeaderUpstreamNotice.
type Notices interface {
	// Current returns what the upstream says now, or "" if that is nothing.
	Current() string
	// Apply applies what the upstream has said to another node.
	Apply(notice string)
}

// Quarantine keeps requests that crash upstreams from running. It returns a *refuser.Refusal for a
// request that must not run now.
type Quarantine interface {
	// Check may read the body into memory, which is free again once ctx is done. It returns another
	// error if the body cannot be read.
	Check(ctx context.Context, r *fingerprinter.Request) error
	// Start records that a request is about to be sent, until release is called. Check must have
	// been called before.
	Start(r *fingerprinter.Request) (release func(), err error)
}

// CrashWatcher follows the requests at the upstream.
type CrashWatcher interface {
	// Start returns the run of a request that is about to be sent.
	Start(id string, r *fingerprinter.Request) *crashwatcher.Run
}

// Config holds the dependencies of a Server. All are required unless noted.
type Config struct {
	// Instance is the id of the node's own instance, Service the name of its service.
	Instance, Service string
	// Upstream is the address of the upstream.
	Upstream  netip.AddrPort
	Requester Requester
	Admitter  Admitter
	Snapshots SnapshotSource
	Link      Link
	// CrashWatcher and Quarantine are nil if requests that crash the upstream are not recognized.
	CrashWatcher CrashWatcher
	Quarantine   Quarantine
	// UpstreamTracker is nil if the upstream sends no heartbeats.
	UpstreamTracker UpstreamTracker
	// Evacuated reports whether operators have evacuated the failure domain of the instance; nil
	// if they never do.
	Evacuated func() bool
	// Notices is nil if no notices are exchanged.
	Notices Notices
	Scope   tally.Scope
	Log     zerolog.Logger
}
