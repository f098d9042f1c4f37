package picker

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

// Names of the policies.
const (
	// PolicyLeastExpectedLatency compares a few candidates by load and latency.
	PolicyLeastExpectedLatency = "least-expected-latency"
	// PolicyRandom takes a random instance, by slots.
	PolicyRandom = "random"
	// PolicyRoundRobin takes the instances one after the other.
	PolicyRoundRobin = "round-robin"
	// PolicyLeastOwn takes the instance with the fewest own requests in flight.
	PolicyLeastOwn = "least-own"
)

// policy chooses among instances, of which there is at least one.
type policy interface {
	pick(e *eligible, r *request) Choice
	// usesLoad reports whether outliers and warming instances get less work.
	usesLoad() bool
}

// baseline is the part that the baselines share.
type baseline struct{ p *Picker }

func (baseline) usesLoad() bool { return false }

// newPolicy returns the policy with the given name.
func newPolicy(name string, p *Picker) (policy, error) {
	switch name {
	case "", PolicyLeastExpectedLatency:
		return &leastExpectedLatency{p}, nil
	case PolicyRandom:
		return &randomChoice{baseline{p}}, nil
	case PolicyRoundRobin:
		return &roundRobin{baseline: baseline{p}}, nil
	case PolicyLeastOwn:
		return &leastOwn{baseline{p}}, nil
	default:
		return nil, errors.Wrapf(ErrPolicy, "%q", name)
	}
}

type randomChoice struct{ baseline }

func (c *randomChoice) pick(e *eligible, r *request) Choice {
	in := e.draw(true, c.p.random)
	if in == nil {
		in = e.draw(false, c.p.random)
	}
	return c.p.only(in, r)
}

type roundRobin struct {
	baseline
	next atomic.Uint64
}

func (c *roundRobin) pick(e *eligible, r *request) Choice {
	i := (c.next.Add(1) - 1) % uint64(e.len())
	return c.p.only(e.at(int(i)).instance, r)
}

type leastOwn struct{ baseline }

func (c *leastOwn) pick(e *eligible, r *request) Choice {
	var best *registrar.Instance
	var bestReading sampler.Reading
	start := int(c.p.random() % uint64(e.len()))
	for i := range e.len() {
		in := e.at((start + i) % e.len()).instance
		reading := c.p.read(in, r)
		if best == nil || reading.Outstanding() < bestReading.Outstanding() {
			best, bestReading = in, reading
		}
	}
	return c.p.only(best, r)
}

// only returns the choice of in as the single candidate.
func (p *Picker) only(in *registrar.Instance, r *request) Choice {
	var choice Choice
	choice.add(Candidate{
		instance: in,
		reading:  p.read(in, r),
		ground:   GroundPolicy,
	})
	return choice
}
