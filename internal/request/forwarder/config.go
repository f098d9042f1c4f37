package forwarder

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
	"github.com/banyanscale/banyanscale/internal/fleet/quotakeeper"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/deduplicator"
	"github.com/banyanscale/banyanscale/internal/request/explainer"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Query holds the inputs of a pick.
type Query struct {
	Service   *compiler.Service
	Instances []*registrar.Instance
	// Exclude lists the ids of the instances that were already tried.
	Exclude []string
	// ExpectedWork is the estimated unslowed work of a request of the route; 0 if unknown.
	ExpectedWork time.Duration
	// TimeToGoal is the time left until the latency goal; 0 if there is none or it has
	// passed.
	TimeToGoal time.Duration
	// LargeResponse reports whether the route's responses are large.
	LargeResponse bool
	// LargeRequest reports whether the request has a large body, and SendTime how long it takes
	// until the link of this node has sent it to another one; 0 if that is unknown.
	LargeRequest bool
	SendTime     time.Duration
	Now          time.Time
}

// Choice is the picked instance and the reasons for the pick.
type Choice struct {
	Instance *registrar.Instance
	// Candidates lists the instances that were compared. The explain command prints
	// it as JSON, so it must not be modified after the pick.
	Candidates any
	// HasSpareCapacity reports whether the instance has low occupancy, no slowdown and few
	// failures, so that a hedge there delays no other request.
	HasSpareCapacity bool
	// RateLimited reports whether the upstream of the instance advertises a rate limit, so that
	// requests that are not needed must not use it up.
	RateLimited bool
	// SameFailureDomain reports whether the instance is in the failure domain of this node.
	SameFailureDomain bool
	// LogFields writes the data behind the choice to a log line. It may be nil.
	LogFields zerolog.LogObjectMarshaler
}

// Picker picks an instance. It reports false if no instance can take the request.
type Picker interface {
	Pick(q Query) (Choice, bool)
}

// Result describes how one attempt ended.
type Result struct {
	// Latency is the time from the pick until the refusal or the response header, including
	// the body if that is small.
	Latency time.Duration
	// Failed reports a failure of the instance or an error status of its upstream.
	Failed bool
	// Refused reports a refusal that is not a fault of the instance.
	Refused bool
	// Unreachable reports that the instance did not accept a connection, or that its
	// address belongs to another instance.
	Unreachable bool
}

// Observer receives load reports and attempt results of instances.
type Observer interface {
	// ObserveLoad records the load that an instance reported, in the format of HeaderLoad.
	ObserveLoad(id string, incarnation uint64, load string, now time.Time)
	// AttemptSent records that an attempt was sent to an instance.
	AttemptSent(id string)
	// AttemptFinished records the result of an attempt.
	AttemptFinished(id string, result Result)
}

// Requester performs one exchange and never replays a request.
type Requester interface {
	DoLimited(ctx context.Context, addr netip.AddrPort, req *http.Request, limits requester.Limits) (*http.Response, error)
}

// LocalServer serves requests for the node's own upstream in process. Errors are of
// type *refuser.Refusal.
type LocalServer interface {
	Exchange(ctx context.Context, req *http.Request) (*http.Response, error)
}

// KeyStore ensures that a request with an idempotency key runs at most once. It stores the
// keys whose home instance is this node's.
type KeyStore interface {
	Begin(ctx context.Context, req deduplicator.Request) (*deduplicator.Run, *deduplicator.Response, error)
}

// NoticeBoard keeps what the upstreams of instances have said of themselves, in the format
// of HeaderUpstreamNotice.
type NoticeBoard interface {
	// Notice returns the latest notice of an instance, or "".
	Notice(instanceID string) string
	// Record records the notice, which may be empty, in the response of an instance to a
	// request that was sent at sentAt.
	Record(instanceID, notice string, sentAt time.Time) error
}

// Quarantine knows the requests that crash upstreams.
type Quarantine interface {
	// Empty reports whether there are no such requests.
	Empty() bool
	// Refusal returns the refusal of a request that must not run, or nil.
	Refusal(r *fingerprinter.Request) *refuser.Refusal
	// MayHold reports whether the body of a request must be known before it is sent.
	MayHold(r *fingerprinter.Request) bool
	// Buffer reads the body of a request into memory, which is free again once ctx is done. It
	// returns a *refuser.Refusal if there is no memory.
	Buffer(ctx context.Context, r *fingerprinter.Request) error
	// Trial returns the trial of a request that runs at one instance only, if it is one.
	Trial(r *fingerprinter.Request) (quarantiner.Trial, bool)
}

// Quota limits the requests of organisations over all nodes together.
type Quota interface {
	// Take takes a request from the quota of an organisation. It may wait for a short time to
	// learn whether there is room. If there is none, the ticket is not taken, and the time until
	// there is room is returned.
	Take(ctx context.Context, o *compiler.Organisation) (ticket quotakeeper.Ticket, retryAfter time.Duration)
	// TakeNow is like Take, but does not wait.
	TakeNow(o *compiler.Organisation) quotakeeper.Ticket
	// Valid reports whether a request for which a ticket was taken may still be sent.
	Valid(ticket quotakeeper.Ticket) bool
	// Return gives back a request that was taken and has not run.
	Return(o *compiler.Organisation, ticket quotakeeper.Ticket)
}

// Link schedules large bodies on the network link of the instance.
type Link interface {
	// Begin waits until a body of the given size may be sent and returns it, to be closed.
	Begin(ctx context.Context, size int, body io.ReadCloser) io.ReadCloser
	// EstimatedTime returns the estimated time until a body of the given size that is sent now
	// has been sent; 0 if that is unknown.
	EstimatedTime(size int) time.Duration
}

// SnapshotSource returns the configuration in force and the view of the fleet.
type SnapshotSource interface {
	Snapshot() *publisher.Snapshot
	// Await waits until the snapshot meets a condition. It returns false if ctx ends first.
	Await(ctx context.Context, condition func(*publisher.Snapshot) bool) bool
}

// OrganisationHeaders are the names of headers that callers' requests lose if the configuration
// has organisations.
type OrganisationHeaders struct {
	// APIKey holds the API key of the caller's organisation; classifier.HeaderAPIKey if empty.
	APIKey string
	// Organisation is the header that upstreams read the organisation from; empty if that is
	// classifier.HeaderOrganisation, which callers never set.
	Organisation string
}

// Config holds the dependencies of a Forwarder. Only Local, Keys, Notices, Quarantine, Quota,
// Link and Headers are optional.
type Config struct {
	// Instance is the id of this node's instance.
	Instance  string
	Snapshots SnapshotSource
	Picker    Picker
	Observer  Observer
	Requester Requester
	// Local is nil if the node has no upstream.
	Local LocalServer
	// Keys is nil if the node stores no idempotency keys.
	Keys KeyStore
	// Notices is nil if the node returns no notices to instances.
	Notices NoticeBoard
	// Quarantine is nil if requests that crash upstreams are not recognized.
	Quarantine Quarantine
	// Quota is nil if organisations have no quotas.
	Quota Quota
	// Link is nil if large request bodies are not scheduled.
	Link Link
	// Headers are the headers of callers that identify their organisations.
	Headers OrganisationHeaders
	// MaxUnsentAttempts is the number of attempts per request that may fail before they
	// reach an upstream, in addition to the attempts that the service allows.
	MaxUnsentAttempts int
	Explainer         *explainer.Explainer
	Scope             tally.Scope
	Log               zerolog.Logger
}
