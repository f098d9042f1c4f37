// Package deduplicator runs a request with an Idempotency-Key at most once in a
// service, and replays the response of the first run to repeated requests.
//
// # Usage
//
//	run, resp, err := d.Begin(ctx, deduplicator.Request{Key: key, Fingerprint: fingerprint, Retention: retention})
//	switch {
//	case err != nil: // A *refuser.Refusal, for example while the first run has not ended.
//	case resp != nil: // The response of the first run.
//	default:
//		run.Done(resp) // Or run.NotRun() or run.Unknown().
//	}
//
// Each key has a home instance, selected by Home among the instances of the
// service. Only the home instance starts a run of the key. After a change of
// membership the new home claims the key from every former home before its
// first run. If a former home may have run the key but cannot be reached, the key
// is not run and its outcome is unknown. docs/design/keyed-requests.md describes
// the guarantees.
package deduplicator

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// convergenceMargin bounds the clock difference between two instances plus the
// time in which a membership change reaches the whole fleet.
const convergenceMargin = 10 * time.Second

// maxTransferRecords is the maximum number of records in one TransferRequest.
const maxTransferRecords = 5000

// errIncompleteHistory reports that the records of a former home are incomplete
// or not available.
var errIncompleteHistory = errors.New("key history is incomplete")

// ClaimRequest asks a former home for its record of a key, and forbids it to run
// the key from then on.
type ClaimRequest struct {
	Key string `json:"key"`
}

// ClaimResponse holds a former home's record of a key.
type ClaimResponse struct {
	Record Record `json:"record"`
	// StartIncarnation is the incarnation at the start of the responding process,
	// which has no records from before that.
	StartIncarnation uint64 `json:"started"`
}

// TransferRequest hands over records of a leaving instance to their next home.
type TransferRequest struct {
	// From is the id of the leaving instance.
	From string `json:"from"`
	// Incarnation is the last incarnation of the leaving instance in the message
	// that completes the transfer, and 0 in earlier messages.
	Incarnation uint64   `json:"incarnation,omitempty"`
	Records     []Record `json:"records"`
}

// Client calls the deduplicators of other instances at their peer addresses.
type Client interface {
	Claim(ctx context.Context, peer netip.AddrPort, req ClaimRequest) (ClaimResponse, error)
	Transfer(ctx context.Context, peer netip.AddrPort, req TransferRequest) error
}

// Config holds the settings and dependencies of a Deduplicator.
type Config struct {
	// Instance is the id of this instance. StartIncarnation is its incarnation
	// at the start of the process, in milliseconds since the Unix epoch.
	Instance         string
	StartIncarnation uint64
	Client           Client
	// MaxKeys bounds the number of stored records. Beyond it, new keys are refused.
	MaxKeys int
	// MaxBytes bounds the total size of stored responses. Beyond it, the
	// responses of further runs are not stored.
	MaxBytes int
	// MaxKeyBytes bounds the total size of the stored keys in bytes; 0 for no bound. Beyond it,
	// requests with new keys are refused.
	MaxKeyBytes int
}

// Request describes a request with an idempotency key.
type Request struct {
	Key         string
	Fingerprint Fingerprint
	Retention   time.Duration
}

// Deduplicator holds the records of the keys whose home is or was this instance. It is
// safe for concurrent use.
type Deduplicator struct {
	cfg Config

	mu      sync.Mutex
	store   *store
	history history
	// handedOver maps the id of an instance that handed over its records to its
	// incarnation at that time.
	handedOver map[string]uint64
}

// New returns a deduplicator without records or known instances.
func New(cfg Config) *Deduplicator {
	return &Deduplicator{
		cfg:        cfg,
		store:      newStore(cfg),
		history:    history{instanceID: cfg.Instance},
		handedOver: make(map[string]uint64),
	}
}

// Begin starts the first run of a key, or returns the stored response of the
// first run. Its error is a *refuser.Refusal.
func (d *Deduplicator) Begin(ctx context.Context, req Request) (*Run, *Response, error) {
	now := time.Now()
	d.mu.Lock()
	record := d.store.get(req.Key, now)
	if record != nil {
		defer d.mu.Unlock()
		resp, err := replay(record, req.Fingerprint)
		return nil, resp, err
	}
	periods := d.history.homePeriods(req.Key, req.Retention, now)
	others := d.history.otherInstances()
	record = &Record{Key: req.Key, Fingerprint: req.Fingerprint, State: StateRunning, Expires: now.Add(req.Retention)}
	stored := d.store.put(record)
	d.mu.Unlock()
	if !stored {
		return nil, nil, refuser.New(classifier.NotRun, classifier.ReasonQueueFull).WithRetryAfter(time.Minute)
	}
	run := &Run{deduplicator: d, record: record}
	found, err := d.claimFrom(ctx, req, d.formerHomes(periods, others, req, now))
	if err != nil {
		run.release()
		return nil, nil, unknownOutcome()
	}
	if found == nil {
		return run, nil, nil
	}
	resp, err := d.adopt(*found, req)
	return nil, resp, err
}

// Claim returns the record of a key for its new home, and prevents the key from
// running here.
func (d *Deduplicator) Claim(req ClaimRequest, retention time.Duration) ClaimResponse {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	resp := ClaimResponse{StartIncarnation: d.cfg.StartIncarnation, Record: Record{Key: req.Key, State: StateNone}}
	if record := d.store.get(req.Key, now); record != nil {
		resp.Record = *record
		return resp
	}
	moved := &Record{Key: req.Key, State: StateMoved, Expires: now.Add(retention)}
	if !d.store.put(moved) {
		// The store is full, so a later run here cannot be prevented: the claiming
		// instance must not run the key.
		resp.Record.State = StateUnknown
		resp.Record.Expires = moved.Expires
	}
	return resp
}

// HandOver transfers all records to their next homes among the given instances.
// Every routable instance receives a final message, even without records. It is
// called once when the instance leaves, after the last run has ended.
func (d *Deduplicator) HandOver(ctx context.Context, instances []*registrar.Instance, retention time.Duration) error {
	byHome := d.groupByNextHome(instances, retention)
	errs := make([]error, len(instances))
	var transfers sync.WaitGroup
	for i, in := range instances {
		if in.ID() == d.cfg.Instance || !in.State().Routable() {
			continue
		}
		transfers.Go(func() {
			if err := d.transfer(ctx, in, byHome[in.ID()]); err != nil {
				errs[i] = fmt.Errorf("hand over records to %s: %w", in.ID(), err)
			}
		})
	}
	transfers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// transfer sends records to one instance in messages of at most maxTransferRecords
// records each. Only the last message carries the incarnation, which marks the
// transfer as complete.
func (d *Deduplicator) transfer(ctx context.Context, in *registrar.Instance, records []Record) error {
	for len(records) > maxTransferRecords {
		req := TransferRequest{From: d.cfg.Instance, Records: records[:maxTransferRecords]}
		if err := d.cfg.Client.Transfer(ctx, in.Peer(), req); err != nil {
			return fmt.Errorf("send records: %w", err)
		}
		records = records[maxTransferRecords:]
	}
	req := TransferRequest{From: d.cfg.Instance, Incarnation: d.incarnation(), Records: records}
	if err := d.cfg.Client.Transfer(ctx, in.Peer(), req); err != nil {
		return fmt.Errorf("send final records: %w", err)
	}
	return nil
}

// Observe records the service's instances as of now. It must be called on every
// membership change.
func (d *Deduplicator) Observe(instances []*registrar.Instance, retention time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.observe(instances, time.Now(), retention)
}

// Transfer stores the records of a leaving instance, but for those whose key no request has. It
// returns an error if the store has no room for all of them, or the incarnation is impossible.
func (d *Deduplicator) Transfer(req TransferRequest) error {
	if req.Incarnation > registrar.MaxRevisionNumber {
		return errors.Wrapf(errImpossible, "incarnation %d", req.Incarnation)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.expire(now)
	for _, received := range req.Records {
		r, err := received.bounded(now)
		if err != nil {
			continue
		}
		if known := d.store.byKey[r.Key]; known != nil && known.State != StateMoved {
			continue
		}
		if r.State == StateRunning {
			r.State = StateUnknown // The instance that ran it has left.
		}
		if !d.store.put(&r) {
			return errors.Wrapf(errIncompleteHistory, "no room for the records of %s", req.From)
		}
	}
	d.handedOver[req.From] = max(d.handedOver[req.From], req.Incarnation)
	return nil
}

// adopt stores the record that a former home returned for a key, and returns the
// stored response or a refusal.
func (d *Deduplicator) adopt(found Record, req Request) (*Response, error) {
	found.Key = req.Key // Whatever the other instance says, it was asked for this one.
	found, err := found.bounded(time.Now())
	if err != nil {
		return nil, unknownOutcome()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if found.State == StateRunning {
		d.store.remove(req.Key) // The next request claims it again, until the run has ended.
	} else {
		d.store.put(&found)
	}
	return replay(&found, req.Fingerprint)
}

// claimFrom claims a key from its former homes and returns the first record
// found, or nil if none of them ran the key. It returns an error if a former home
// cannot be reached, is not known, or lost its records in a restart.
func (d *Deduplicator) claimFrom(ctx context.Context, req Request, homes []*registrar.Instance) (*Record, error) {
	for _, home := range homes {
		if home == unknownHome {
			return nil, errors.Wrap(errIncompleteHistory, "membership history is shorter than the retention")
		}
		resp, err := d.cfg.Client.Claim(ctx, home.Peer(), ClaimRequest{Key: req.Key})
		if err != nil {
			return nil, fmt.Errorf("claim from %s: %w", home.ID(), err)
		}
		if resp.StartIncarnation > home.Incarnation() {
			return nil, errors.Wrapf(errIncompleteHistory, "%s restarted", home.ID())
		}
		if state := resp.Record.State; state != StateNone && state != StateMoved {
			return &resp.Record, nil
		}
	}
	return nil, nil
}

// incarnation returns the latest observed incarnation of this instance, or that at
// the start of the process.
func (d *Deduplicator) incarnation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.history.epochs); n > 0 && d.history.epochs[n-1].ownIncarnation > 0 {
		return d.history.epochs[n-1].ownIncarnation
	}
	return d.cfg.StartIncarnation
}

// groupByNextHome returns the unexpired records of unclaimed keys, grouped by the id
// of their next home.
func (d *Deduplicator) groupByNextHome(instances []*registrar.Instance, retention time.Duration) map[string][]Record {
	now := time.Now()
	var next []*registrar.Instance
	for _, in := range instances {
		if in.ID() != d.cfg.Instance {
			next = append(next, in)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	byHome := make(map[string][]Record)
	for key, r := range d.store.byKey {
		home := Home(next, key, retention, now)
		if home != nil && r.State != StateMoved && r.Expires.After(now) {
			byHome[home.ID()] = append(byHome[home.ID()], *r)
		}
	}
	return byHome
}

// replay returns the response or refusal for a request whose key has a record.
// The outcome is unknown if this version does not recognize the record's state.
func replay(r *Record, fingerprint Fingerprint) (*Response, error) {
	switch {
	case r.State == StateMoved:
		return nil, refuser.New(classifier.NotRun, classifier.ReasonWrongInstance)
	case r.State != StateRunning && r.State != StateDone:
		return nil, unknownOutcome()
	case r.Fingerprint != fingerprint:
		return nil, refuser.New(classifier.NotRun, classifier.ReasonKeyMismatch)
	case r.State == StateRunning:
		return nil, refuser.New(classifier.Unknown, classifier.ReasonKeyRunning).WithRetryAfter(time.Second)
	case r.Response == nil:
		return nil, refuser.New(classifier.Done, classifier.ReasonKeyAnswer)
	}
	return r.Response, nil
}

// unknownOutcome returns the refusal of a key whose first run has no known outcome.
func unknownOutcome() *refuser.Refusal {
	return refuser.New(classifier.Unknown, classifier.ReasonKeyUnknown)
}
