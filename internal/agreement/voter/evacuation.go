package voter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// maxDomainBytes bounds the name of a failure domain.
	maxDomainBytes = 128
	// maxEvacuatedBytes bounds the names of all evacuated failure domains together, with
	// nameOverhead bytes for each. Each datagram of gossip contains them.
	maxEvacuatedBytes = 400
	nameOverhead      = 2
)

// Errors of an evacuation order.
var (
	// ErrTooManyEvacuated means that the names of the evacuated failure domains would
	// exceed maxEvacuatedBytes.
	ErrTooManyEvacuated = errors.New("too many failure domains are evacuated")
	// ErrAbandoned means that the operator disconnected before the order was proposed.
	ErrAbandoned = errors.New("the operator disconnected; the order was not proposed")
)

// Values of the reason label of the evacuation orders metric.
const (
	reasonUnchanged classifier.Reason = "unchanged"
	reasonFull      classifier.Reason = "too-many-evacuated"
	reasonAbandoned classifier.Reason = "abandoned"
)

// Evacuation returns the evacuated failure domains. Its revision is 0 before the first
// order. The caller must not modify it.
func (s *State) Evacuation() *controlwire.Evacuation { return s.wire.GetEvacuation() }

// evacuationOrder decides the outcome of one order on a given state.
type evacuationOrder struct {
	domain    string
	evacuated bool            // Whether the domain is to be evacuated.
	caller    context.Context // Ends when the operator disconnects.
	proposed  bool            // Set once a changed list was proposed.
	err       error           // The outcome of the last call of decide.
}

// decide is the transitionFunc of the order. An order whose operator has disconnected is not
// proposed, nor proposed again: a paused instance may get that far only after later orders.
func (o *evacuationOrder) decide(base *State) *voterwire.Transition {
	o.err = nil
	current := base.Evacuation()
	if slices.Contains(current.GetFailureDomains(), o.domain) == o.evacuated {
		return nil
	}
	if o.caller.Err() != nil {
		o.err = o.abandonedError()
		return nil
	}
	domains := o.apply(current.GetFailureDomains())
	if o.evacuated && encodedBytes(domains) > maxEvacuatedBytes {
		o.err = fmt.Errorf("%w: their names may have %d bytes together", ErrTooManyEvacuated, maxEvacuatedBytes)
		return nil
	}
	o.proposed = true
	return &voterwire.Transition{
		Evacuation: &controlwire.Evacuation{Revision: current.GetRevision() + 1, FailureDomains: domains},
	}
}

// abandonedError returns the error of an order that is dropped. One that was proposed before may
// still be accepted, if a voter has it.
func (o *evacuationOrder) abandonedError() error {
	if o.proposed {
		return ErrOutcomeUnknown
	}
	return ErrAbandoned
}

// apply returns the sorted list with the domain added or removed.
func (o *evacuationOrder) apply(domains []string) []string {
	domains = slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == o.domain })
	if o.evacuated {
		domains = append(domains, o.domain)
	}
	slices.Sort(domains)
	return domains
}

// encodedBytes returns the size of the names in a message.
func encodedBytes(names []string) int {
	n := 0
	for _, name := range names {
		n += len(name) + nameOverhead
	}
	return n
}

// SetEvacuated orders that a failure domain be evacuated, or that its evacuation end, and
// returns the resulting list. An order that changes nothing succeeds once a majority
// confirms that. The errors are like those of Submit, except that the order is safe to
// resend in any case.
func (v *Voter) SetEvacuated(ctx context.Context, domain string, evacuated bool) (*controlwire.Evacuation, error) {
	order := &evacuationOrder{domain: domain, evacuated: evacuated, caller: ctx}
	evacuation, err := v.orderEvacuation(ctx, order)
	reason := evacuationReason(order, err)
	v.evacuationOrders.Inc(reason)
	v.cfg.Log.Info().Str("failure-domain", domain).Bool("evacuate", evacuated).
		Uint64("revision", evacuation.GetRevision()).Strs("evacuated", evacuation.GetFailureDomains()).
		Str("result", string(reason)).AnErr("error", err).Msg("Evacuation order finished.")
	if err != nil {
		return nil, fmt.Errorf("order evacuation: %w", err)
	}
	return evacuation, nil
}

func (v *Voter) orderEvacuation(ctx context.Context, order *evacuationOrder) (*controlwire.Evacuation, error) {
	if _, err := parser.Name(order.domain); err != nil || len(order.domain) > maxDomainBytes {
		return nil, fmt.Errorf("%w: the failure domain is not a name in kebab case of at most %d bytes", ErrInvalid, maxDomainBytes)
	}
	if held, _ := v.acceptor.newestState(); held != nil && !v.hasRequiredVoters(held) {
		return nil, fmt.Errorf("%w: %d of %d", ErrTooFewVoters, len(held.membership().GetVoters()), v.requiredVoters())
	}
	// An attempt that has begun continues if the operator disconnects, so that it does not stay
	// undecided.
	ctx, cancel := withDetachedTimeout(ctx, operationTimeout)
	defer cancel()
	p := &proposal{transition: order.decide}
	state, err := v.propose(ctx, p)
	if err != nil {
		return nil, proposalError(err, p.sent)
	}
	if order.err != nil {
		return nil, order.err
	}
	return state.Evacuation(), nil
}

// withDetachedTimeout is like withTimeout, but the context does not end when ctx is canceled.
func withDetachedTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := withTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := bounded.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

func evacuationReason(order *evacuationOrder, err error) classifier.Reason {
	switch {
	case err == nil && !order.proposed:
		return reasonUnchanged
	case errors.Is(err, ErrTooManyEvacuated):
		return reasonFull
	case errors.Is(err, ErrAbandoned):
		return reasonAbandoned
	default:
		return submissionReason(nil, err)
	}
}

// reportEvacuation calls OnEvacuation with the evacuation of a state if it is newer than
// the one reported before.
func (v *Voter) reportEvacuation(state *State, reported *uint64) {
	evacuation := state.Evacuation()
	if v.cfg.OnEvacuation == nil || evacuation.GetRevision() <= *reported {
		return
	}
	*reported = evacuation.GetRevision()
	v.cfg.OnEvacuation(evacuation)
}
