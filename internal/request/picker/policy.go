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
	// PolicyLeastExpectedFinish asks a few candidates at the moment of the choice.
	PolicyLeastExpectedFinish = "least-expected-finish"
	// PolicyRandom takes a random instance, by slots.
	PolicyRandom = "random"
	// PolicyRoundRobin takes the instances one after the other.
	PolicyRoundRobin = "round-robin"
	// PolicyLeastOwn takes the instance with the fewest own requests in flight.
	PolicyLeastOwn = "least-own"
)

// policy chooses among eligible instances, of which there is at least one.
type policy interface {
	pick(r *request, choice *Choice)
	// usesLoad reports whether warming instances get less work.
	usesLoad() bool
	// avoidsOutliers reports whether outliers are chosen only if no other
	// instance is left.
	avoidsOutliers() bool
}

// baseline is the part that the baselines share.
type baseline struct{ p *Picker }

func (baseline) usesLoad() bool { return false }

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
		return &leastOwn{baseline{p}}, nil
	default:
		return nil, errors.Wrapf(ErrPolicy, "%q", name)
	}
}

type randomChoice struct{ baseline }

func (c *randomChoice) pick(r *request, choice *Choice) {
	in := r.eligible.draw(true, c.p.random)
	if in == nil {
		in = r.eligible.draw(false, c.p.random)
	}
	c.p.only(in, r, choice)
}

type roundRobin struct {
	baseline
	next atomic.Uint64
}

func (c *roundRobin) pick(r *request, choice *Choice) {
	i := (c.next.Add(1) - 1) % uint64(r.eligible.len())
	c.p.only(r.eligible.members[i].instance, r, choice)
}

type leastOwn struct{ baseline }

func (c *leastOwn) pick(r *request, choice *Choice) {
	var best *registrar.Instance
	var bestReading sampler.Reading
	start := int(c.p.random() % uint64(r.eligible.len()))
	for i := range r.eligible.len() {
		in := r.eligible.members[(start+i)%r.eligible.len()].instance
		reading := c.p.read(in, r)
		if best == nil || reading.Outstanding() < bestReading.Outstanding() {
			best, bestReading = in, reading
		}
	}
	c.p.only(best, r, choice)
}

// only makes in the single candidate of the choice.
func (p *Picker) only(in *registrar.Instance, r *request, choice *Choice) {
	choice.add(Candidate{
		instance: in,
		reading:  p.read(in, r),
		ground:   GroundPolicy,
	})
}
