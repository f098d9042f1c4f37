package admitter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// simulatedLoad describes an open-loop load on one upstream.
type simulatedLoad struct {
	slots              int
	highPriorityFifths int     // Fifths of the requests that have high priority.
	loadFactor         float64 // Load as a multiple of the capacity.
	timeout            time.Duration
	slowness           func(inFlight int, at time.Duration) float64
}

// tally counts the outcomes of the requests of one priority. A refusal is slow if it
// took more than half of the time until the deadline.
type tally struct{ sent, good, late, refused, slowRefusals atomic.Int64 }

func (l simulatedLoad) run(t *testing.T) (high, low *tally) {
	high, low = &tally{}, &tally{}
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitterWithLatency(t, l.slots, 32)
		r := rand.New(rand.NewPCG(1, 2))
		begin := time.Now()
		rate := l.loadFactor * float64(l.slots) / float64(serviceTime)
		for time.Since(begin) < 10*time.Second {
			time.Sleep(time.Duration(r.ExpFloat64() / rate))
			req, counts := Request{Priority: compiler.PriorityLow, Deadline: time.Now().Add(l.timeout)}, low
			if r.IntN(5) < l.highPriorityFifths {
				req.Priority, counts = compiler.PriorityHigh, high
			}
			took := float64(serviceTime) * (0.5 + r.Float64())
			go func() {
				if l.slowness != nil {
					took *= l.slowness(a.InFlight(), time.Since(begin))
				}
				counts.request(a, req, time.Duration(took))
			}()
		}
		time.Sleep(10 * time.Second)
	})
	return high, low
}

func (c *tally) request(a *Admitter, req Request, took time.Duration) {
	c.sent.Add(1)
	arrived := time.Now()
	p, err := a.Admit(context.Background(), req)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		c.refused.Add(1)
		if refusal.Reason() != classifier.ReasonPreempted && time.Since(arrived) > time.Until(req.Deadline) {
			c.slowRefusals.Add(1)
		}
		return
	}
	time.Sleep(took)
	p.Done(Result{Latency: took})
	if time.Now().After(req.Deadline) {
		c.late.Add(1)
		return
	}
	c.good.Add(1)
}

func TestOverloadKeepsGoodput(t *testing.T) {
	for _, factor := range []float64{0.9, 1.5, 3} {
		high, low := simulatedLoad{slots: 6, highPriorityFifths: 1, loadFactor: factor, timeout: 100 * time.Millisecond}.run(t)
		good := high.good.Load() + low.good.Load()
		ran := good + high.late.Load() + low.late.Load()
		t.Logf("load %.1f: goodput %d of %d possible, late %d, high refused %d of %d, low refused %d of %d, slow refusals %d",
			factor, good, 6000, ran-good, high.refused.Load(), high.sent.Load(), low.refused.Load(), low.sent.Load(), low.slowRefusals.Load())
		peak := min(factor, 1) * 6000
		assert.Assert(t, float64(good) > 0.95*peak)
		assert.Assert(t, ran-good <= ran/50)
		assert.Assert(t, high.refused.Load() == 0)
		assert.Assert(t, low.slowRefusals.Load() <= low.refused.Load()/100)
	}
}

// TestLowPriorityIsNotStarved checks that some requests of low priority succeed although
// those of high priority exceed the capacity.
func TestLowPriorityIsNotStarved(t *testing.T) {
	for _, timeout := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		high, low := simulatedLoad{slots: 6, highPriorityFifths: 4, loadFactor: 3, timeout: timeout}.run(t)
		good, late := high.good.Load()+low.good.Load(), high.late.Load()+low.late.Load()
		t.Logf("timeout %v: high good %d of %d, low good %d of %d, late %d, slow refusals of low %d",
			timeout, high.good.Load(), high.sent.Load(), low.good.Load(), low.sent.Load(), late, low.slowRefusals.Load())
		assert.Assert(t, good > 5700 && late <= good/50)
		assert.Assert(t, low.good.Load() >= good/40 && low.good.Load() <= good/15)
		assert.Assert(t, low.slowRefusals.Load() <= low.refused.Load()/20)
	}
}

// TestContendedUpstreamServesHighPriority checks that most requests of high priority
// succeed at an upstream whose work slows with the square of the requests in flight.
func TestContendedUpstreamServesHighPriority(t *testing.T) {
	contention := func(inFlight int, at time.Duration) float64 {
		if at < 3*time.Second {
			return 1
		}
		return 0.4 * float64(max(inFlight*inFlight, 1))
	}
	high, low := simulatedLoad{slots: 6, highPriorityFifths: 1, loadFactor: 0.5, timeout: 200 * time.Millisecond, slowness: contention}.run(t)
	t.Logf("high: good %d of %d, low: good %d of %d, late %d", high.good.Load(), high.sent.Load(), low.good.Load(), low.sent.Load(), low.late.Load())
	assert.Assert(t, high.good.Load()*10 >= high.sent.Load()*9)
}

func BenchmarkAdmit(b *testing.B) {
	b.ReportAllocs()
	a := New(Config{Slots: 1 << 20, Connections: 1 << 20})
	ctx := context.Background()
	b.RunParallel(func(pb *testing.PB) {
		req := Request{Deadline: time.Now().Add(time.Hour)}
		for pb.Next() {
			p, err := a.Admit(ctx, req)
			if err != nil {
				b.Error(err)
				return
			}
			p.Done(Result{Latency: time.Millisecond})
		}
	})
}

func BenchmarkRefuse(b *testing.B) {
	b.ReportAllocs()
	a := New(Config{Slots: 1, Connections: 1})
	_, _ = a.Admit(context.Background(), Request{})
	for b.Loop() {
		if _, err := a.Admit(context.Background(), Request{}); err == nil {
			b.Fatal("admitted")
		}
	}
}
