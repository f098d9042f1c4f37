package sampler

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const maxAge = 100 * time.Millisecond

func loadWithInFlight(n int) Load {
	return NewLoad(LoadSpec{InFlight: n, Limit: 6, Latency: time.Millisecond, WarmPercent: 100})
}

func TestReadingFreshnessAndOccupancy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{MaxRequestsPerSample: 3})
		p.Observe("a", 2, loadWithInFlight(1), time.Now())
		p.Sent("a")
		p.Sent("a")
		assertReading(t, p, true, 3)
		p.Sent("a") // Reaches the limit of requests per sample.
		assertReading(t, p, false, 4)
		p.Observe("a", 2, loadWithInFlight(0), time.Now()) // Occupancy is at least the three requests in flight.
		assertReading(t, p, true, 3)
		p.Observe("a", 1, loadWithInFlight(6), time.Now())                        // Dropped: an earlier incarnation.
		p.Observe("a", 2, loadWithInFlight(6), time.Now().Add(-time.Millisecond)) // Dropped: older.
		assertReading(t, p, true, 3)
		time.Sleep(maxAge + 1)
		assertReading(t, p, false, 3)
	})
}

func TestNewIncarnationClearsRequestStats(t *testing.T) {
	p := New(Config{})
	p.Observe("a", 1, loadWithInFlight(0), time.Now())
	recordFailures(p, "a", 10)
	assert.Assert(t, p.Read("a", maxAge, time.Now()).FailureRate() > 0.5)
	p.Observe("a", 2, loadWithInFlight(0), time.Now())
	assert.Equal(t, p.Read("a", maxAge, time.Now()).FailureRate(), 0.0)
}

func TestRetainKeepsInstancesWithRequestsInFlight(t *testing.T) {
	p := New(Config{})
	p.Observe("a", 1, loadWithInFlight(0), time.Now())
	p.Sent("b")
	p.Retain(func(string) bool { return false })
	assert.Assert(t, !p.Read("a", maxAge, time.Now()).Sampled())
	assert.Equal(t, p.Read("b", maxAge, time.Now()).Outstanding(), 1)
	p.Finished("b", Result{})
	p.Retain(func(string) bool { return false })
	p.Finished("b", Result{}) // Does not add the removed instance again.
	assert.Equal(t, p.Read("b", maxAge, time.Now()).Outstanding(), 0)
}

func TestOutliers(t *testing.T) {
	for _, tt := range []struct {
		name                     string
		n, failing, slow         int
		minHealthy, wantOutliers int
	}{
		{"no outlier", 6, 0, 0, 50, 0},
		{"one straggler", 6, 0, 1, 50, 1},
		{"one failing", 6, 1, 0, 50, 1},
		{"one straggler and one failing of three", 3, 1, 1, 50, 1},
		{"two failing of six", 6, 2, 0, 50, 2},
		{"minimum healthy share keeps one of two", 6, 2, 0, 80, 1},
		{"minimum healthy share is rounded up", 3, 1, 0, 70, 0},
		{"all fail", 4, 4, 0, 50, 0},
		{"one is kept without a minimum share", 2, 1, 1, 0, 1},
		{"of two latencies the higher is normal", 2, 0, 1, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Config{})
				q := OutlierQuery{Service: "s", MinHealthyPercent: tt.minHealthy, Now: time.Now()}
				for i := range tt.n {
					id := fmt.Sprint(i)
					q.Instances = append(q.Instances, registrar.NewInstance(registrar.Spec{ID: id, State: registrar.StateReady}))
					switch {
					case i < tt.failing:
						recordFailures(p, id, 10)
					case i < tt.failing+tt.slow:
						recordSuccesses(p, id, 10, 100*time.Millisecond)
					default:
						recordSuccesses(p, id, 10, 5*time.Millisecond)
					}
				}
				assert.Equal(t, p.Outliers(q).Len(), tt.wantOutliers)
				for i := tt.failing + tt.slow; i < tt.n; i++ {
					assert.Assert(t, !p.Outliers(q).Has(fmt.Sprint(i)))
				}
				time.Sleep(10 * time.Second) // The measurements have decayed.
				q.Now = time.Now()
				assert.Equal(t, p.Outliers(q).Len(), 0)
			})
		})
	}
}

// TestOutliersInReportedLoad checks that the latency and the failures that serving
// nodes report make an outlier without requests of this node.
func TestOutliersInReportedLoad(t *testing.T) {
	p := New(Config{})
	q := OutlierQuery{Service: "s", Now: time.Now()}
	for i, spec := range []LoadSpec{{Latency: time.Second}, {FailurePercent: 90}, {}, {}, {}} {
		spec.Latency = max(spec.Latency, time.Millisecond)
		q.Instances = append(q.Instances, registrar.NewInstance(registrar.Spec{ID: fmt.Sprint(i), State: registrar.StateReady}))
		p.Observe(fmt.Sprint(i), 0, NewLoad(spec), q.Now)
	}
	assert.Assert(t, p.Outliers(q).Has("0"))
	assert.Assert(t, p.Outliers(q).Has("1"))
	assert.Equal(t, p.Outliers(q).Len(), 2)
}

func TestRefusalDoesNotCountAsLatency(t *testing.T) {
	p := New(Config{})
	recordSuccesses(p, "a", 1, time.Second)
	p.Sent("a")
	p.Finished("a", Result{Refused: true, Latency: time.Microsecond})
	assert.Assert(t, p.Read("a", maxAge, time.Now()).Latency() > 900*time.Millisecond)
	assert.Equal(t, p.Read("a", maxAge, time.Now()).Outstanding(), 0)
}

func assertReading(t *testing.T, p *Pool, fresh bool, occupancy int) {
	t.Helper()
	r := p.Read("a", maxAge, time.Now())
	assert.Equal(t, r.Fresh(), fresh)
	assert.Equal(t, r.Occupancy(), occupancy)
}

func recordFailures(p *Pool, id string, n int) {
	for range n {
		p.Sent(id)
		p.Finished(id, Result{Failed: true, Latency: time.Microsecond})
	}
}

func recordSuccesses(p *Pool, id string, n int, latency time.Duration) {
	for range n {
		p.Sent(id)
		p.Finished(id, Result{Latency: latency})
	}
}

// TestSampleOfAnImpossibleIncarnationHidesNoLaterOnes guards against one sample that keeps the load of an instance unknown for good.
func TestSampleOfAnImpossibleIncarnationHidesNoLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{MaxRequestsPerSample: 3})
		p.Observe("a", math.MaxUint64, loadWithInFlight(5), time.Now())
		for range 20 {
			time.Sleep(time.Second)
			p.Observe("a", 2, loadWithInFlight(1), time.Now())
		}
		r := p.Read("a", maxAge, time.Now())
		assert.Equal(t, r.Incarnation(), uint64(2))
		assert.Assert(t, r.Fresh())
	})
}
