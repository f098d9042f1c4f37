package picker

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

// Names of the policies.
const (
	// PolicyLeastExpectedLatency compares a few candidates by load and latency.
	PolicyLeastExpectedLatency = "least-expected-latency"
	// PolicyLeastExpectedFinish requests the load of a few candidates at the moment of
	// the choice, and prefers the node's own failure domain.
	PolicyLeastExpectedFinish = "least-expected-finish"
	// PolicyRandom chooses a random instance, weighted by slots, from this node's region
	// if it has any.
	PolicyRandom = "random"
	// PolicyRoundRobin chooses the instances in turn.
	PolicyRoundRobin = "round-robin"
	// PolicyLeastOwn chooses the instance with the fewest requests in flight from this
	// node.
	PolicyLeastOwn = "least-own"
)

// policy chooses among the eligible instances.
type policy interface {
	// pick adds candidates to choice and marks the chosen one. At least one instance
	// is eligible.
	pick(s *pickState, choice *Choice)
	// slowStart reports whether warming instances receive a reduced share of requests.
	slowStart() bool
	// avoidsOutliers reports whether outliers are chosen only if no other instance is left.
	avoidsOutliers() bool
}

// baseline provides what the baseline policies share: they have no slow start and do not
// avoid outliers.
type baseline struct{ picker *Picker }

func (baseline) slowStart() bool { return false }

func (baseline) avoidsOutliers() bool { return false }

// newPolicy returns the policy with the given name.
func newPolicy(name string, p *Picker) (policy, error) {
	switch name {
	case "", PolicyLeastExpectedLatency:
		return &leastExpectedLatency{p}, nil
	case PolicyLeastExpectedFinish:
		return &leastExpectedFinish{p}, nil
	case PolicyRandom:
		return &randomChoice{baseline{p}}, nil
	case PolicyRoundRobin:
		return &roundRobin{baseline: baseline{p}}, nil
	case PolicyLeastOwn:
		return &leastOutstanding{baseline{p}}, nil
	default:
		return nil, errors.Wrapf(ErrPolicy, "%q", name)
	}
}

type randomChoice struct{ baseline }

func (p *randomChoice) pick(s *pickState, choice *Choice) {
	in := s.eligible.drawByRegion(true, p.picker.random)
	if in == nil {
		in = s.eligible.drawByRegion(false, p.picker.random)
	}
	p.picker.chooseUnscored(in, s, choice)
}

type roundRobin struct {
	baseline
	next atomic.Uint64
}

func (p *roundRobin) pick(s *pickState, choice *Choice) {
	i := (p.next.Add(1) - 1) % uint64(s.eligible.len())
	p.picker.chooseUnscored(s.eligible.instances[i].instance, s, choice)
}

type leastOutstanding struct{ baseline }

func (p *leastOutstanding) pick(s *pickState, choice *Choice) {
	var best *registrar.Instance
	var bestReading sampler.Reading
	start := int(p.picker.random() % uint64(s.eligible.len()))
	for i := range s.eligible.len() {
		in := s.eligible.instances[(start+i)%s.eligible.len()].instance
		reading := p.picker.read(in, s)
		if best == nil || reading.Outstanding() < bestReading.Outstanding() {
			best, bestReading = in, reading
		}
	}
	p.picker.chooseUnscored(best, s, choice)
}

// chooseUnscored adds an instance as the only candidate, which is chosen without a score.
func (p *Picker) chooseUnscored(in *registrar.Instance, s *pickState, choice *Choice) {
	choice.add(Candidate{
		instance: in,
		reading:  p.read(in, s),
		reason:   ReasonPolicy,
	})
}
