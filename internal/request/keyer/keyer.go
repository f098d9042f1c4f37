// Package keyer lets a request with an Idempotency-Key run at most once in a
// service, and answers a repetition with the first run's answer.
//
// # Usage
//
//	run, answer, err := k.Begin(ctx, keyer.Request{Key: key, Fingerprint: print, Retention: retention})
//	switch {
//	case err != nil: // A *refuser.Refusal: running, mismatch, unknown.
//	case answer != nil: // The first run's answer.
//	default:
//		run.Done(answer) // Or run.NotRun() or run.Unknown().
//	}
//
// Each key has a home: one instance of the service, found by Home. Only the
// home lets a key run. After a change of membership the new home asks every
// former home before it lets a key run for the first time. If one of them
// cannot tell, the key does not run: its outcome is unknown.
// docs/design/keyed-requests.md tells what is promised.
package keyer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// convergence bounds the difference of two machines' clocks together with the
// time that a change of membership takes to be known everywhere.
const convergence = 10 * time.Second

// maxTransferRecords bounds the records in one message.
const maxTransferRecords = 5000

// errUnable reports a former home that cannot tell.
var errUnable = errors.New("former home cannot tell")

// ClaimRequest asks a former home for what it knows of a key, and tells it not
// to let the key run from now on.
type ClaimRequest struct {
	Key string `json:"key"`
}

// ClaimResponse is what a former home knows.
type ClaimResponse struct {
	Record Record `json:"record"`
	// Started is the incarnation at the start of the answering process; it
	// knows of no key that came before.
	Started uint64 `json:"started"`
}

// TransferRequest hands records over to another instance.
type TransferRequest struct {
	// From is the leaving instance.
	From string `json:"from"`
	// Incarnation is its last, in the message that ends the transfer; else 0.
	Incarnation uint64   `json:"incarnation,omitempty"`
	Records     []Record `json:"records"`
}

// Client reaches the keyers of other instances at their peer addresses.
type Client interface {
	Claim(ctx context.Context, peer netip.AddrPort, req ClaimRequest) (ClaimResponse, error)
	Transfer(ctx context.Context, peer netip.AddrPort, req TransferRequest) error
}

// Config lists the settings of a Keyer.
type Config struct {
	// Instance is the id of the node's own instance; Started its incarnation
	// at the start of the process, in milliseconds since the epoch.
	Instance string
	Started  uint64
	Client   Client
	// MaxKeys bounds the remembered keys. With no room, new keys are refused.
	MaxKeys int
	// MaxBytes bounds the bytes of stored answers. With no room, answers are
	// not kept.
	MaxBytes int
}

// Request is one request with a key.
type Request struct {
	Key         string
	Fingerprint Fingerprint
	Retention   time.Duration
}

// Keyer keeps the keys whose home is the node's own instance.
type Keyer struct {
	cfg Config

	mu       sync.Mutex
	store    *store
	history  history
	receipts map[string]uint64 // Incarnations of instances that handed over.
}

// New returns a keyer that knows nothing yet.
func New(cfg Config) *Keyer {
	return &Keyer{
		cfg:      cfg,
		store:    newStore(cfg.MaxKeys, cfg.MaxBytes),
		history:  history{self: cfg.Instance},
		receipts: make(map[string]uint64),
	}
}

// Begin lets a key run for the first time, or returns the answer of its first
// run. Its error is a *refuser.Refusal.
func (k *Keyer) Begin(ctx context.Context, req Request) (*Run, *Answer, error) {
	now := time.Now()
	k.mu.Lock()
	record := k.store.get(req.Key, now)
	if record != nil {
		defer k.mu.Unlock()
		answer, err := repeat(record, req.Fingerprint)
		return nil, answer, err
	}
	reigns := k.history.reigns(req.Key, req.Retention, now)
	others := k.history.others()
	record = &Record{Key: req.Key, Fingerprint: req.Fingerprint, State: StateRunning, Expires: now.Add(req.Retention)}
	stored := k.store.put(record)
	k.mu.Unlock()
	if !stored {
		return nil, nil, refuser.New(classifier.NotRun, classifier.ReasonQueueFull).After(time.Minute)
	}
	run := &Run{keyer: k, record: record}
	found, err := k.ask(ctx, req, k.formerHomes(reigns, others, req, now))
	if err != nil {
		run.forget()
		return nil, nil, unknown()
	}
	if found == nil {
		return run, nil, nil
	}
	answer, err := k.adopt(*found, req)
	return nil, answer, err
}

// Claim tells what is known of a key, and keeps it from running here.
func (k *Keyer) Claim(req ClaimRequest, retention time.Duration) ClaimResponse {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := ClaimResponse{Started: k.cfg.Started, Record: Record{Key: req.Key, State: StateNone}}
	if record := k.store.get(req.Key, now); record != nil {
		resp.Record = *record
		return resp
	}
	moved := &Record{Key: req.Key, State: StateMoved, Expires: now.Add(retention)}
	if !k.store.put(moved) {
		// It cannot be kept from running here: the other side must not run it.
		resp.Record.State = StateUnknown
		resp.Record.Expires = moved.Expires
	}
	return resp
}

// HandOver gives all records to their next homes among the given instances,
// and tells each instance that it did. It is called once on a planned leave,
// after the last run has ended.
func (k *Keyer) HandOver(ctx context.Context, instances []*registrar.Instance, retention time.Duration) error {
	byHome := k.split(instances, retention)
	var first error
	for _, in := range instances {
		if in.ID() == k.cfg.Instance || !in.State().Routable() {
			continue
		}
		if err := k.transfer(ctx, in, byHome[in.ID()]); err != nil && first == nil {
			first = fmt.Errorf("hand keys over to %s: %w", in.ID(), err)
		}
	}
	return first
}

// transfer sends records to one instance, in several messages if they are
// many. Only the last one tells that all are handed over.
func (k *Keyer) transfer(ctx context.Context, in *registrar.Instance, records []Record) error {
	for len(records) > maxTransferRecords {
		req := TransferRequest{From: k.cfg.Instance, Records: records[:maxTransferRecords]}
		if err := k.cfg.Client.Transfer(ctx, in.Peer(), req); err != nil {
			return fmt.Errorf("transfer a part: %w", err)
		}
		records = records[maxTransferRecords:]
	}
	req := TransferRequest{From: k.cfg.Instance, Incarnation: k.incarnation(), Records: records}
	if err := k.cfg.Client.Transfer(ctx, in.Peer(), req); err != nil {
		return fmt.Errorf("transfer the last part: %w", err)
	}
	return nil
}

// Observe tells the service's instances as they are known now. It must be
// called at every change of membership.
func (k *Keyer) Observe(instances []*registrar.Instance, retention time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history.observe(instances, time.Now(), retention)
}

// Transfer takes the records of a leaving instance over. It returns an error
// if there is no room for all of them.
func (k *Keyer) Transfer(req TransferRequest) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.expire(time.Now())
	for _, r := range req.Records {
		if known := k.store.byKey[r.Key]; known != nil && known.State != StateMoved {
			continue
		}
		if r.State == StateRunning {
			r.State = StateUnknown // Whoever ran it is gone.
		}
		if !k.store.put(&r) {
			return errors.Wrapf(errUnable, "no room for keys of %s", req.From)
		}
	}
	k.receipts[req.From] = max(k.receipts[req.From], req.Incarnation)
	return nil
}

// adopt keeps what a former home knows of a key.
func (k *Keyer) adopt(found Record, req Request) (*Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if found.State == StateRunning {
		k.store.remove(req.Key) // It is asked for again until the run has ended.
	} else {
		k.store.put(&found)
	}
	return repeat(&found, req.Fingerprint)
}

// ask returns what one of the former homes knows of a key, or nil if none has
// seen it. It returns an error if one of them cannot tell.
func (k *Keyer) ask(ctx context.Context, req Request, homes []*registrar.Instance) (*Record, error) {
	for _, home := range homes {
		if home == unanswering {
			return nil, errors.Wrap(errUnable, "history is too short")
		}
		resp, err := k.cfg.Client.Claim(ctx, home.Peer(), ClaimRequest{Key: req.Key})
		if err != nil {
			return nil, fmt.Errorf("ask %s: %w", home.ID(), err)
		}
		if resp.Started > home.Incarnation() {
			return nil, errors.Wrapf(errUnable, "%s started again", home.ID())
		}
		if state := resp.Record.State; state != StateNone && state != StateMoved {
			return &resp.Record, nil
		}
	}
	return nil, nil
}

func (k *Keyer) incarnation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.history.epochs); n > 0 && k.history.epochs[n-1].self > 0 {
		return k.history.epochs[n-1].self
	}
	return k.cfg.Started
}

// split returns the records by the id of their next home.
func (k *Keyer) split(instances []*registrar.Instance, retention time.Duration) map[string][]Record {
	now := time.Now()
	var next []*registrar.Instance
	for _, in := range instances {
		if in.ID() != k.cfg.Instance {
			next = append(next, in)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	byHome := make(map[string][]Record)
	for key, r := range k.store.byKey {
		home := Home(next, key, retention, now)
		if home != nil && r.State != StateMoved && r.Expires.After(now) {
			byHome[home.ID()] = append(byHome[home.ID()], *r)
		}
	}
	return byHome
}

// repeat answers a request whose key is known. A state that this version does
// not know tells nothing of the first run.
func repeat(r *Record, fingerprint Fingerprint) (*Answer, error) {
	switch {
	case r.State == StateMoved:
		return nil, refuser.New(classifier.NotRun, classifier.ReasonWrongInstance)
	case r.State != StateRunning && r.State != StateDone:
		return nil, unknown()
	case r.Fingerprint != fingerprint:
		return nil, refuser.New(classifier.NotRun, classifier.ReasonKeyMismatch)
	case r.State == StateRunning:
		return nil, refuser.New(classifier.Unknown, classifier.ReasonKeyRunning).After(time.Second)
	case r.Answer == nil:
		return nil, refuser.New(classifier.Done, classifier.ReasonKeyAnswer)
	}
	return r.Answer, nil
}

func unknown() *refuser.Refusal {
	return refuser.New(classifier.Unknown, classifier.ReasonKeyUnknown)
}
