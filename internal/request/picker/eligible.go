package picker

import (
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

const (
	// fullWeight is the weight of one slot of an instance that is warm.
	fullWeight = 100
	// minWarmWeight is the least weight of one slot of a warming instance.
	minWarmWeight = 10
)

// class orders instances by how willingly they are chosen.
type class uint8

const (
	classSound class = iota
	classOutlier
	classSuspect
	classNone
)

// classOf returns the class of an instance; classNone if it takes no new work.
func classOf(in *registrar.Instance, outliers *sampler.Outliers) class {
	switch {
	case !in.State().Routable():
		return classNone
	case in.State() == registrar.StateSuspect:
		return classSuspect
	case outliers.Has(in.ID()):
		return classOutlier
	default:
		return classSound
	}
}

// member is one instance that may be chosen. Its weight is 0 once drawn.
type member struct {
	instance *registrar.Instance
	weight   uint64
	local    bool
}

// eligible holds the instances that may be chosen.
type eligible struct{ members []member }

func (e *eligible) add(in *registrar.Instance, weight uint64, local bool) {
	e.members = append(e.members, member{instance: in, weight: weight, local: local})
}

func (e *eligible) len() int { return len(e.members) }

func (e *eligible) reset() {
	clear(e.members)
	e.members = e.members[:0]
}

// draw removes a random instance, by weight, from those inside or outside this
// node's region, and returns it; nil if there is none.
func (e *eligible) draw(local bool, random func() uint64) *registrar.Instance {
	return e.drawOf(func(m *member) bool { return m.local == local }, random)
}

// drawOf removes a random instance, by weight, from those that are wanted, and
// returns it; nil if there is none.
func (e *eligible) drawOf(wanted func(*member) bool, random func() uint64) *registrar.Instance {
	var total uint64
	for i := range e.members {
		if m := &e.members[i]; wanted(m) {
			total += m.weight
		}
	}
	if total == 0 {
		return nil
	}
	rest := random() % total
	for i := range e.members {
		m := &e.members[i]
		if !wanted(m) || m.weight == 0 {
			continue
		}
		if rest < m.weight {
			m.weight = 0
			return m.instance
		}
		rest -= m.weight
	}
	return nil
}

// take removes the instance with the given id and returns it, or nil.
func (e *eligible) take(id string) *registrar.Instance {
	for i := range e.members {
		m := &e.members[i]
		if m.weight > 0 && m.instance.ID() == id {
			m.weight = 0
			return m.instance
		}
	}
	return nil
}

// drawDomain removes a random instance, by weight, from those inside or outside
// a failure domain, and returns it; nil if there is none.
func (e *eligible) drawDomain(domain string, inside bool, random func() uint64) *registrar.Instance {
	return e.drawOf(func(m *member) bool { return (m.instance.FailureDomain() == domain) == inside }, random)
}
