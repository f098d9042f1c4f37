package admitter

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// newLeastCostAdmitter returns an admitter whose slots are all in use by requests with the given
// work, and their permits.
func newLeastCostAdmitter(t *testing.T, slots, queueLength int, work time.Duration) (*Admitter, []*Permit) {
	a := New(Config{Slots: slots, Connections: 100, QueueLength: queueLength, LimitIgnoresLatency: true, Overload: compiler.OverloadLeastCost})
	t.Cleanup(a.Leave)
	permits := make([]*Permit, slots)
	for i := range permits {
		permits[i], _ = a.Admit(context.Background(), Request{Priority: compiler.PriorityHigh, ExpectedWork: work})
	}
	return a, permits
}

// due returns a request of normal priority that was refused elsewhere before.
func due(work, goal, deadline time.Duration) Request {
	now := time.Now()
	return Request{Priority: compiler.PriorityNormal, ExpectedWork: work, LatencyGoalTime: now.Add(goal), Deadline: now.Add(deadline), Retried: true}
}

func TestShorterWorkDisplacesLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, permits := newLeastCostAdmitter(t, 1, 32, 100*ms)
		long := due(300*ms, 460*ms, 470*ms)
		waiting := admit(context.Background(), a, long)
		assertWaiting(t, waiting)
		short := admit(context.Background(), a, due(100*ms, 400*ms, time.Second))
		assertRefused(t, waiting, classifier.ReasonDisplaced) // At once: its deadline could not be met.
		assertWaiting(t, short)
		time.Sleep(100 * ms)
		permits[0].Done(Result{Latency: 100 * ms})
		synctest.Wait()
		assertAdmitted(t, short)
	})
}

func TestCallOfRunningRequestKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLeastCostAdmitter(t, 1, 32, 100*ms)
		nested := due(300*ms, 460*ms, 470*ms)
		nested.Nested = true
		call := admit(context.Background(), a, nested)
		assertRefused(t, admit(context.Background(), a, due(100*ms, 400*ms, 440*ms)), classifier.ReasonDeadline)
		assertWaiting(t, call)
	})
}

func TestFirstAttemptGoesWhereItsGoalCanBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLeastCostAdmitter(t, 1, 32, 400*ms)
		req := due(100*ms, 450*ms, 5*time.Second)
		req.Retried = false
		refused := admit(context.Background(), a, req)
		assertRefused(t, refused, classifier.ReasonGoal)
		var refusal *Refusal
		assert.Assert(t, errors.As(refused.err, &refusal))
		assert.Assert(t, refusal.RetryAfter() >= 400*ms)
		req.Retried = true // There is no better instance, so a late response is better than none.
		assertWaiting(t, admit(context.Background(), a, req))
	})
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLeastCostAdmitter(t, 2, 32, 400*ms)
		assertRefused(t, admit(context.Background(), a, due(100*ms, 300*ms, 450*ms)), classifier.ReasonDeadline)
	})
}

// TestStalledUpstreamEndsWaits checks that requests do not wait until their deadline at an upstream
// that finishes nothing.
func TestStalledUpstreamEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLeastCostAdmitter(t, 1, 32, 50*ms)
		call := admit(context.Background(), a, due(50*ms, 200*ms, 2*time.Second))
		assertWaiting(t, call)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assertRefusal(t, call, classifier.ReasonDeadline)
		assert.Assert(t, call.took <= 1200*ms, "%v", call.took)
	})
}

// TestLowerPriorityNeverPasses plays random requests and checks that each slot that becomes free
// goes to the highest priority that waits, but one in agingInterval.
func TestLowerPriorityNeverPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, permits := newLeastCostAdmitter(t, 1, 36, 10*ms)
		r := rand.New(rand.NewPCG(3, 3))
		running := permits[0]
		passed, turns := 0, 0
		waiting := map[*admitCall]compiler.Priority{}
		for range 2000 {
			for range r.IntN(3) {
				req := due(10*ms, time.Duration(50+r.IntN(400))*ms, 2*time.Second)
				req.Priority = compiler.Priority(r.IntN(3))
				waiting[admit(context.Background(), a, req)] = req.Priority
			}
			time.Sleep(10 * ms)
			highest := a.highestWaiting()
			running.Done(Result{Latency: 10 * ms})
			synctest.Wait()
			for call, priority := range waiting {
				if !call.hasEnded() {
					continue
				}
				delete(waiting, call)
				if call.err != nil {
					continue
				}
				running = call.permit
				turns++
				if priority < highest {
					passed++
				}
			}
		}
		t.Logf("%d starts, %d of a lower priority than another that waited", turns, passed)
		assert.Assert(t, turns > 1000 && passed > 0 && passed <= turns/agingInterval+1)
	})
}

// highestWaiting returns the highest priority that waits.
func (a *Admitter) highestWaiting() compiler.Priority {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w := a.queue.first(); w != nil {
		return w.req.Priority
	}
	return compiler.PriorityLow
}

// TestFullQueueRefusesLoudOrganisation checks that a full queue makes room for another organisation
// at the cost of the one that is far above its share.
func TestFullQueueRefusesLoudOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, permits := newLeastCostAdmitter(t, 1, 16, 10*ms)
		send := func(name string) *admitCall {
			req := due(10*ms, 5*time.Second, 10*time.Second)
			req.Organisation, req.Retried = name, false
			return admit(context.Background(), a, req)
		}
		permits[0].Done(Result{Latency: 10 * ms})
		for range 20 { // All usually send the same.
			for _, name := range []string{"loud", "quiet", "third", "fourth", "fifth"} {
				call := send(name)
				time.Sleep(10 * ms)
				call.permit.Done(Result{Latency: 10 * ms})
			}
			time.Sleep(950 * ms)
		}
		running := send("other")
		var last *admitCall
		for range 16 {
			last = send("loud")
			assertWaiting(t, last)
		}
		quiet := send("quiet")
		assertWaiting(t, quiet)
		assertRefused(t, last, classifier.ReasonOverShare)
		running.permit.Done(Result{Latency: 10 * ms})
	})
}

// TestOverloadChangesWhileRequestsWait checks that waiting requests stay and running ones are known
// when the configuration changes.
func TestOverloadChangesWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 8, LimitIgnoresLatency: true})
		t.Cleanup(a.Leave)
		running := admit(context.Background(), a, due(50*ms, 100*ms, time.Second))
		call := admit(context.Background(), a, due(50*ms, 500*ms, time.Second))
		for _, overload := range []compiler.Overload{compiler.OverloadLeastCost, compiler.OverloadArrivalOrder, compiler.OverloadLeastCost} {
			a.SetOverload(overload)
			a.Update(1, 100, 8, 0)
			synctest.Wait()
			assertWaiting(t, call)
		}
		time.Sleep(50 * ms)
		running.permit.Done(Result{Latency: 50 * ms})
		synctest.Wait()
		assertAdmitted(t, call)
	})
}

// BenchmarkPlan measures how long the lock is held to queue a request and to review the queue, with
// 18 slots and a queue of 36 requests of as many organisations.
func BenchmarkPlan(b *testing.B) {
	for name, late := range map[string]bool{"in time": false, "beyond capacity": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			a := New(Config{Slots: 18, Connections: 100, QueueLength: 36, LimitIgnoresLatency: true, Overload: compiler.OverloadLeastCost})
			now := time.Now()
			for i := range 18 + 36 {
				req := Request{
					Priority: compiler.PriorityNormal, ExpectedWork: time.Duration(100+10*i) * ms, Retried: true, Organisation: organisationName(i),
					LatencyGoalTime: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
				}
				if late {
					req.LatencyGoalTime = now.Add(time.Duration(1000+5*i) * ms)
				}
				_, _, _ = a.admitOrQueue(req, now)
			}
			for b.Loop() {
				a.plan(nil, now)
			}
			b.ReportMetric(float64(a.queue.len()), "waiting")
		})
	}
}
