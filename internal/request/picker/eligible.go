package picker

import (
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

const (
	// slotWeight is the weight of one slot of an instance that is not warming.
	slotWeight = 100
	// minWarmingSlotWeight is the minimum weight of one slot of a warming instance.
	minWarmingSlotWeight = 10
)

// class ranks instances: only those of the first class that has any are eligible.
type class uint8

const (
	classHealthy class = iota
	classOutlier
	classSuspect
	classRateLimited
	classUnroutable
)

// classOf returns the class of an instance; classUnroutable if it accepts no new
// requests. rateLimited reports whether its rate limit is known to be reached.
func classOf(in *registrar.Instance, outliers *sampler.Outliers, rateLimited bool) class {
	switch {
	case !in.State().Routable():
		return classUnroutable
	case rateLimited:
		return classRateLimited
	case in.State() == registrar.StateSuspect:
		return classSuspect
	case outliers.Has(in.ID()):
		return classOutlier
	default:
		return classHealthy
	}
}

// eligibleInstance is an instance that may be chosen. Its weight is 0 once drawn.
type eligibleInstance struct {
	instance   *registrar.Instance
	weight     uint64
	sameRegion bool
}

// eligibleSet holds the instances that may be chosen.
type eligibleSet struct{ instances []eligibleInstance }

func (e *eligibleSet) add(in *registrar.Instance, weight uint64, sameRegion bool) {
	e.instances = append(e.instances, eligibleInstance{instance: in, weight: weight, sameRegion: sameRegion})
}

func (e *eligibleSet) len() int { return len(e.instances) }

func (e *eligibleSet) reset() {
	clear(e.instances)
	e.instances = e.instances[:0]
}

// drawByRegion draws a random instance, by weight, from this node's region or, if
// sameRegion is false, from the other regions. It returns nil if none is left.
func (e *eligibleSet) drawByRegion(sameRegion bool, random func() uint64) *registrar.Instance {
	return e.drawMatching(func(entry *eligibleInstance) bool { return entry.sameRegion == sameRegion }, random)
}

// drawMatching draws a random instance, by weight and without replacement, from those
// for which match returns true. It returns nil if none is left.
func (e *eligibleSet) drawMatching(match func(*eligibleInstance) bool, random func() uint64) *registrar.Instance {
	var total uint64
	for i := range e.instances {
		if entry := &e.instances[i]; match(entry) {
			total += entry.weight
		}
	}
	if total == 0 {
		return nil
	}
	remaining := random() % total
	for i := range e.instances {
		entry := &e.instances[i]
		if !match(entry) || entry.weight == 0 {
			continue
		}
		if remaining < entry.weight {
			entry.weight = 0
			return entry.instance
		}
		remaining -= entry.weight
	}
	return nil
}

// takeByID returns the instance with the given id and removes it from further draws. It
// returns nil if there is none or it was drawn before.
func (e *eligibleSet) takeByID(id string) *registrar.Instance {
	for i := range e.instances {
		entry := &e.instances[i]
		if entry.weight > 0 && entry.instance.ID() == id {
			entry.weight = 0
			return entry.instance
		}
	}
	return nil
}

// drawByDomain draws a random instance, by weight, from a failure domain or, if
// sameDomain is false, from the other failure domains. It returns nil if none is left.
func (e *eligibleSet) drawByDomain(domain string, sameDomain bool, random func() uint64) *registrar.Instance {
	return e.drawMatching(func(entry *eligibleInstance) bool { return (entry.instance.FailureDomain() == domain) == sameDomain }, random)
}
