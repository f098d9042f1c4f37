package sampler

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const (
	// evaluationInterval is how long the outliers of a service are cached.
	evaluationInterval = 20 * time.Millisecond
	// minResults is the number of results that this node needs from an instance
	// before the measured latency can make it an outlier. Before that, an instance
	// without a sample of its current incarnation is not evaluated at all.
	minResults = 5
	// minFailureExcess is the least excess of an outlier's failure rate over the
	// median.
	minFailureExcess = 0.3
	// minStragglerRatio is the least ratio of a straggler's latency to the median.
	minStragglerRatio = 3
	// minStragglerExcess is the least excess of a straggler's latency over the
	// median.
	minStragglerExcess = 5 * time.Millisecond
	percent            = fullPercent
)

// OutlierQuery lists the instances to compare with each other.
type OutlierQuery struct {
	// Service is the name of the service.
	Service string
	// Instances are the instances of the service, all from one view.
	Instances []*registrar.Instance
	// MinHealthyPercent is the least share of the routable instances that must not
	// be outliers.
	MinHealthyPercent int
	// Now is the time of the query.
	Now time.Time
}

// Outliers is the set of instances that respond far more slowly, or fail far more
// often, than the others of their service. It is immutable.
type Outliers struct {
	ids []string
}

// Has reports whether the instance is an outlier.
func (o *Outliers) Has(instanceID string) bool { return slices.Contains(o.ids, instanceID) }

// Len returns the number of outliers.
func (o *Outliers) Len() int { return len(o.ids) }

// outlierCache holds the newest set of outliers of one service. Only one
// goroutine at a time renews a set that has expired; the others use the old one.
type outlierCache struct {
	evaluating atomic.Bool
	current    atomic.Pointer[cachedOutliers]
}

// cachedOutliers is a set of outliers with the query that it was computed for.
type cachedOutliers struct {
	outliers          *Outliers
	firstInstance     *registrar.Instance
	instanceCount     int
	minHealthyPercent int
	evaluatedAt       time.Time
}

// instanceReading is the reading of one of the instances compared.
type instanceReading struct {
	id      string
	reading Reading
}

// outlierCandidate is an instance that may be excluded as an outlier.
type outlierCandidate struct {
	id       string
	severity float64
}

// Outliers returns the outliers among the queried instances. The result is shared
// by all callers and renewed every evaluationInterval.
func (p *Pool) Outliers(q OutlierQuery) *Outliers {
	if len(q.Instances) == 0 {
		return &Outliers{}
	}
	v, ok := p.outlierCaches.Load(q.Service)
	if !ok {
		v, _ = p.outlierCaches.LoadOrStore(q.Service, &outlierCache{})
	}
	cache := v.(*outlierCache)
	current := cache.current.Load()
	if current != nil && current.validFor(q) {
		return current.outliers
	}
	if current != nil && !cache.evaluating.CompareAndSwap(false, true) {
		return current.outliers
	}
	outliers := p.evaluate(q)
	cache.current.Store(&cachedOutliers{
		outliers:          outliers,
		firstInstance:     q.Instances[0],
		instanceCount:     len(q.Instances),
		minHealthyPercent: q.MinHealthyPercent,
		evaluatedAt:       q.Now,
	})
	cache.evaluating.Store(false)
	return outliers
}

// validFor reports whether the set is recent and was computed for the same view and
// MinHealthyPercent. A view is recognized by its first instance and its length.
func (c *cachedOutliers) validFor(q OutlierQuery) bool {
	age := q.Now.Sub(c.evaluatedAt)
	return age >= 0 && age < evaluationInterval &&
		c.firstInstance == q.Instances[0] && c.instanceCount == len(q.Instances) && c.minHealthyPercent == q.MinHealthyPercent
}

// evaluate computes the outliers. It leaves out the least severe candidates if
// otherwise all routable instances, or more than MinHealthyPercent allows, would be
// outliers.
func (p *Pool) evaluate(q OutlierQuery) *Outliers {
	var readings []instanceReading
	routable := 0
	for _, in := range q.Instances {
		if !in.State().Routable() {
			continue
		}
		routable++
		r := p.Read(in.ID(), 0, q.Now)
		if r.sampled && r.incarnation == in.Incarnation() || r.results >= minResults {
			readings = append(readings, instanceReading{id: in.ID(), reading: r})
		}
	}
	candidates := findOutlierCandidates(readings)
	minHealthy := (routable*q.MinHealthyPercent + percent - 1) / percent
	maxOutliers := max(routable-max(minHealthy, 1), 0)
	candidates = candidates[:min(len(candidates), maxOutliers)]
	o := &Outliers{}
	for _, c := range candidates {
		o.ids = append(o.ids, c.id)
	}
	return o
}

// findOutlierCandidates returns the instances that deviate from the median, the
// most severe first.
func findOutlierCandidates(readings []instanceReading) []outlierCandidate {
	var reported, measured, failureRates []float64
	for _, r := range readings {
		failureRates = append(failureRates, r.reading.failureRate)
		reported = appendPositive(reported, r.reading.load.Latency())
		measured = appendPositive(measured, r.reading.lastMeasuredLatency)
	}
	medianReported := upperMedian(reported)
	medianMeasured := upperMedian(measured)
	medianFailureRate := lowerMedian(failureRates)
	var candidates []outlierCandidate
	for _, r := range readings {
		severity := stragglerSeverity(r.reading.reportedLatency, medianReported)
		if r.reading.results >= minResults {
			severity = max(severity, stragglerSeverity(r.reading.measuredLatency, medianMeasured))
		}
		if excess := r.reading.failureRate - medianFailureRate; excess >= minFailureExcess {
			severity += percent * excess
		}
		if severity > 0 {
			candidates = append(candidates, outlierCandidate{id: r.id, severity: severity})
		}
	}
	slices.SortFunc(candidates, func(a, b outlierCandidate) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.id, b.id))
	})
	return candidates
}

// stragglerSeverity returns the ratio of a straggler's latency to the median, or 0
// for an instance that is no straggler.
func stragglerSeverity(latency time.Duration, median float64) float64 {
	v := float64(latency)
	if median == 0 || v < minStragglerRatio*median || v < median+float64(minStragglerExcess) {
		return 0
	}
	return min(v/median, percent)
}

func appendPositive(list []float64, latency time.Duration) []float64 {
	if latency <= 0 {
		return list
	}
	return append(list, float64(latency))
}

// lowerMedian sorts v and returns its lower median, or 0 if v is empty. Of two
// failure rates, the lower counts as normal.
func lowerMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// upperMedian sorts v and returns its upper median, or 0 if v is empty. Of two
// latencies, the higher counts as normal, so that an instance that claims to
// be fast does not make the other a straggler.
func upperMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}
