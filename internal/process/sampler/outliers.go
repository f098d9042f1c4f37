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
	// minResults is how many results an instance needs before it can be an outlier.
	minResults = 5
	// failureExcess is by how much an outlier's failure rate exceeds the median of all.
	failureExcess = 0.3
	// stragglerRatio is how many times the median latency an outlier takes.
	stragglerRatio = 3
	// stragglerExcess is the least time by which an outlier exceeds the median.
	stragglerExcess = 5 * time.Millisecond
	percent         = 100
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
	readings := make(map[string]Reading, len(q.Instances))
	routable := 0
	for _, in := range q.Instances {
		if !in.State().Routable() {
			continue
		}
		routable++
		if r := p.Read(in.ID(), 0, q.Now); r.results >= minResults {
			readings[in.ID()] = r
		}
	}
	suspects := findSuspects(readings)
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
func findSuspects(readings map[string]Reading) []suspect {
	var latencies, failureRates []float64
	for _, r := range readings {
		failureRates = append(failureRates, r.failureRate)
		if r.lastLatency > 0 {
			latencies = append(latencies, float64(r.lastLatency))
		}
	}
	medianLatency := median(latencies)
	medianFailureRate := median(failureRates)
	var suspects []suspect
	for id, r := range readings {
		severity := 0.0
		if excess := r.failureRate - medianFailureRate; excess >= failureExcess {
			severity += percent * excess
		}
		latency := float64(r.pathLatency)
		if latency >= stragglerRatio*medianLatency && latency >= medianLatency+float64(stragglerExcess) {
			severity += min(latency/medianLatency, percent)
		}
		if severity > 0 {
			suspects = append(suspects, suspect{id: id, severity: severity})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.id, b.id))
	})
	return suspects
}

// median returns the lower median of v, which it sorts, or 0 if v is empty.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
