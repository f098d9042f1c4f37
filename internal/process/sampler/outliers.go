package sampler

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

const (
	// evaluationInterval is how long one evaluation of a service's instances holds.
	evaluationInterval = 20 * time.Millisecond
	// minResults is how many own requests must have ended before what they saw
	// can make an instance an outlier.
	minResults = 5
	// minFailureExcess is by how much an outlier's failure rate exceeds the median of all.
	minFailureExcess = 0.3
	// minStragglerRatio is how many times the median latency an outlier takes.
	minStragglerRatio = 3
	// minStragglerExcess is the least time by which an outlier exceeds the median.
	minStragglerExcess = 5 * time.Millisecond
	percent            = fullPercent
)

// OutlierQuery names the instances to compare with each other.
type OutlierQuery struct {
	// Service is the service's name.
	Service string
	// Instances are the service's instances, of one view.
	Instances []*registrar.Instance
	// MinHealthyPercent is the share of the routable instances that is never
	// counted as outliers.
	MinHealthyPercent int
	// Now is the time of the choice.
	Now time.Time
}

// Outliers is the set of instances that answer far slower, or fail far more
// often, than the others of their service. It is immutable.
type Outliers struct {
	ids []string
}

// Has reports whether the instance is an outlier.
func (o *Outliers) Has(instanceID string) bool { return slices.Contains(o.ids, instanceID) }

// Len returns the number of outliers.
func (o *Outliers) Len() int { return len(o.ids) }

// outlierCache is the newest set of outliers of one service.
type outlierCache struct {
	evaluating atomic.Bool
	current    atomic.Pointer[cachedOutliers]
}

type cachedOutliers struct {
	outliers          *Outliers
	firstInstance     *registrar.Instance
	instances         int
	minHealthyPercent int
	at                time.Time
}

// instanceReading is what is known about one instance that is compared.
type instanceReading struct {
	id      string
	reading Reading
}

// outlierCandidate is one candidate for the set of outliers.
type outlierCandidate struct {
	id       string
	severity float64
}

// Outliers returns the outliers among the queried instances. The result is
// shared and renewed every few milliseconds.
func (p *Pool) Outliers(q OutlierQuery) *Outliers {
	if len(q.Instances) == 0 {
		return &Outliers{}
	}
	v, ok := p.outlierCaches.Load(q.Service)
	if !ok {
		v, _ = p.outlierCaches.LoadOrStore(q.Service, &outlierCache{})
	}
	e := v.(*outlierCache)
	current := e.current.Load()
	if current != nil && current.validFor(q) {
		return current.outliers
	}
	if current != nil && !e.evaluating.CompareAndSwap(false, true) {
		return current.outliers
	}
	outliers := p.evaluate(q)
	e.current.Store(&cachedOutliers{
		outliers:          outliers,
		firstInstance:     q.Instances[0],
		instances:         len(q.Instances),
		minHealthyPercent: q.MinHealthyPercent,
		at:                q.Now,
	})
	e.evaluating.Store(false)
	return outliers
}

// validFor reports whether the evaluation is recent and of the same view.
func (e *cachedOutliers) validFor(q OutlierQuery) bool {
	age := q.Now.Sub(e.at)
	return age >= 0 && age < evaluationInterval &&
		e.firstInstance == q.Instances[0] && e.instances == len(q.Instances) && e.minHealthyPercent == q.MinHealthyPercent
}

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

// findOutlierCandidates returns the instances that stand out from the median, the worst
// first.
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

// stragglerSeverity returns how many times the median a straggler takes, or 0 for an
// instance that is none.
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

// lowerMedian returns the lower median of v, which it sorts, or 0 if v is
// empty. Of two failure rates it takes the lower one for the usual.
func lowerMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// upperMedian returns the upper median of v, which it sorts, or 0 if v is
// empty. Of two latencies it takes the higher one for the usual, so that an
// instance that claims to be fast does not make the other a straggler.
func upperMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}
