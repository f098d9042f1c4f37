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
	// failureExcess is by how much an outlier's failure rate exceeds the median of all.
	failureExcess = 0.3
	// stragglerRatio is how many times the median latency an outlier takes.
	stragglerRatio = 3
	// stragglerExcess is the least time by which an outlier exceeds the median.
	stragglerExcess = 5 * time.Millisecond
	percent         = fullPercent
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

// evaluation is the newest set of outliers of one service.
type evaluation struct {
	running atomic.Bool
	current atomic.Pointer[evaluated]
}

type evaluated struct {
	outliers *Outliers
	first    *registrar.Instance
	n        int
	percent  int
	at       time.Time
}

// observation is what is known about one instance that is compared.
type observation struct {
	id      string
	reading Reading
}

// suspect is one candidate for the set of outliers.
type suspect struct {
	id       string
	severity float64
}

// Outliers returns the outliers among the queried instances. The result is
// shared and renewed every few milliseconds.
func (p *Pool) Outliers(q OutlierQuery) *Outliers {
	if len(q.Instances) == 0 {
		return &Outliers{}
	}
	v, ok := p.evaluations.Load(q.Service)
	if !ok {
		v, _ = p.evaluations.LoadOrStore(q.Service, &evaluation{})
	}
	e := v.(*evaluation)
	current := e.current.Load()
	if current != nil && current.holds(q) {
		return current.outliers
	}
	if current != nil && !e.running.CompareAndSwap(false, true) {
		return current.outliers
	}
	outliers := p.evaluate(q)
	e.current.Store(&evaluated{
		outliers: outliers,
		first:    q.Instances[0],
		n:        len(q.Instances),
		percent:  q.MinHealthyPercent,
		at:       q.Now,
	})
	e.running.Store(false)
	return outliers
}

// holds reports whether the evaluation is recent and of the same view.
func (e *evaluated) holds(q OutlierQuery) bool {
	age := q.Now.Sub(e.at)
	return age >= 0 && age < evaluationInterval &&
		e.first == q.Instances[0] && e.n == len(q.Instances) && e.percent == q.MinHealthyPercent
}

func (p *Pool) evaluate(q OutlierQuery) *Outliers {
	var observed []observation
	routable := 0
	for _, in := range q.Instances {
		if !in.State().Routable() {
			continue
		}
		routable++
		r := p.Read(in.ID(), 0, q.Now)
		if r.sampled && r.incarnation == in.Incarnation() || r.results >= minResults {
			observed = append(observed, observation{id: in.ID(), reading: r})
		}
	}
	suspects := findSuspects(observed)
	keep := (routable*q.MinHealthyPercent + percent - 1) / percent
	allowed := max(routable-max(keep, 1), 0)
	suspects = suspects[:min(len(suspects), allowed)]
	o := &Outliers{}
	for _, s := range suspects {
		o.ids = append(o.ids, s.id)
	}
	return o
}

// findSuspects returns the instances that stand out from the median, the worst
// first.
func findSuspects(observed []observation) []suspect {
	var told, seen, failureRates []float64
	for _, o := range observed {
		failureRates = append(failureRates, o.reading.failureRate)
		told = appendPositive(told, o.reading.load.Latency())
		seen = appendPositive(seen, o.reading.lastLatency)
	}
	medianTold := upperMedian(told)
	medianSeen := upperMedian(seen)
	medianFailureRate := lowerMedian(failureRates)
	var suspects []suspect
	for _, o := range observed {
		severity := slowness(o.reading.toldLatency, medianTold)
		if o.reading.results >= minResults {
			severity = max(severity, slowness(o.reading.pathLatency, medianSeen))
		}
		if excess := o.reading.failureRate - medianFailureRate; excess >= failureExcess {
			severity += percent * excess
		}
		if severity > 0 {
			suspects = append(suspects, suspect{id: o.id, severity: severity})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.id, b.id))
	})
	return suspects
}

// slowness returns how many times the median a straggler takes, or 0 for an
// instance that is none.
func slowness(latency time.Duration, median float64) float64 {
	v := float64(latency)
	if median == 0 || v < stragglerRatio*median || v < median+float64(stragglerExcess) {
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
