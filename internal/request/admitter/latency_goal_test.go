package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// admitAll starts requests one after the other and returns the names of those
// that were admitted, in order. Each runs for the time that it is expected to.
func admitAll(t *testing.T, slots int, requests []namedRequest) []string {
	t.Helper()
	var mu sync.Mutex
	var order []string
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 100, FixedLimit: true})
		for _, r := range requests {
			work := r.work
			work.Due = time.Now().Add(r.goal)
			work.Deadline = time.Now().Add(r.deadline)
			go func() {
				p, err := a.Admit(context.Background(), work)
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, r.name)
				mu.Unlock()
				time.Sleep(work.Expected)
				p.Done(Result{Latency: work.Expected})
			}()
			synctest.Wait()
		}
		time.Sleep(10 * time.Second)
	})
	return order
}

// namedRequest is one request of a test.
type namedRequest struct {
	name           string
	goal, deadline time.Duration
	work           Work
}

func highPriority(name string, goal, deadline, expected time.Duration) namedRequest {
	return namedRequest{name, goal, deadline, Work{Priority: compiler.PriorityHigh, Expected: expected}}
}

// TestEarlierGoalIsDispatchedFirst checks that of one class what is due first goes
// first, as calls do that a running request waits for.
func TestEarlierGoalIsDispatchedFirst(t *testing.T) {
	const ms = time.Millisecond
	order := admitAll(t, 2, []namedRequest{
		highPriority("order-1", 400*ms, 1200*ms, 130*ms),
		highPriority("order-2", 400*ms, 1200*ms, 150*ms),
		highPriority("order-3", 400*ms, 1200*ms, 150*ms),
		highPriority("call", 100*ms, 250*ms, 20*ms),
	})
	assert.DeepEqual(t, order, []string{"order-1", "order-2", "call", "order-3"})
}

// TestHighPriorityMayMissGoalWithinDeadline checks that a call for which the next free
// slot is in time is not refused for being later than it is due.
func TestHighPriorityMayMissGoalWithinDeadline(t *testing.T) {
	const ms = time.Millisecond
	order := admitAll(t, 2, []namedRequest{
		highPriority("order-1", 400*ms, 1200*ms, 150*ms),
		highPriority("order-2", 400*ms, 1200*ms, 150*ms),
		highPriority("call", 100*ms, 250*ms, 20*ms),
	})
	assert.DeepEqual(t, order, []string{"order-1", "order-2", "call"})
}

// TestOverloadMeetsMostGoals plays twice the load that the slots bear, with
// goals of five times the work, and checks that most of what they bear is in time.
func TestOverloadMeetsMostGoals(t *testing.T) {
	const work, goal, slots = 90 * time.Millisecond, 450 * time.Millisecond, 6
	var inTime, refusedLate atomic.Int64
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 32, FixedLimit: true})
		r := rand.New(rand.NewPCG(5, 6))
		for range 2000 {
			time.Sleep(time.Duration(r.ExpFloat64() / (2 * slots) * float64(work)))
			arrived := time.Now()
			request := Work{Priority: compiler.PriorityNormal, Expected: work, Due: arrived.Add(goal), Deadline: arrived.Add(3 * goal), Retried: true}
			go func() {
				p, err := a.Admit(context.Background(), request)
				if err != nil {
					if time.Since(arrived) > goal/2 {
						refusedLate.Add(1)
					}
					return
				}
				time.Sleep(work)
				p.Done(Result{Latency: work})
				if time.Since(arrived) <= goal {
					inTime.Add(1)
				}
			}()
		}
		time.Sleep(10 * time.Second)
	})
	t.Logf("in time: %d of 1000 that the slots bear, refused late: %d", inTime.Load(), refusedLate.Load())
	assert.Assert(t, inTime.Load() > 700)
	assert.Assert(t, refusedLate.Load() < 100)
}

// TestLateOnArrivalIsDispatchedLast checks that work that was past its goal when it came
// does not hold up what can be in time, while calls that became late do.
func TestLateOnArrivalIsDispatchedLast(t *testing.T) {
	const ms = time.Millisecond
	order := admitAll(t, 1, []namedRequest{
		highPriority("first", 400*ms, 1200*ms, 150*ms),
		highPriority("came late", 0, 900*ms, 100*ms),
		highPriority("in time", 400*ms, 1200*ms, 100*ms),
		highPriority("call", 100*ms, 350*ms, 20*ms),
	})
	assert.DeepEqual(t, order, []string{"first", "call", "in time", "came late"})
}

// TestRequestPastItsGoalIsNotSentElsewhere checks that a request that can only be late may
// wait where it came first: no other instance can answer it in time.
func TestRequestPastItsGoalIsNotSentElsewhere(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, FixedLimit: true})
		first, err := a.Admit(context.Background(), Work{Expected: 50 * ms})
		assert.NilError(t, err)
		time.AfterFunc(80*ms, func() { first.Done(Result{Latency: 80 * ms}) })
		time.Sleep(30 * ms)
		now := time.Now()
		late, err := a.Admit(context.Background(), Work{Priority: compiler.PriorityNormal, Expected: 50 * ms, Due: now, Deadline: now.Add(time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(now), 50*ms)
		late.Done(Result{Latency: 50 * ms})
	})
}

// TestGoalTimeFromFirstAttemptServesMoreInTime plays twice the load that the slots bear,
// with callers that come back after a refusal. It checks that more of them are
// served within the goal if it is known how long they have waited already.
func TestGoalTimeFromFirstAttemptServesMoreInTime(t *testing.T) {
	fromRetry := simulateRetryingCallers(t, false)
	fromFirst := simulateRetryingCallers(t, true)
	t.Logf("in time, of 1000 that the slots bear: %d if not known, %d if known", fromRetry, fromFirst)
	assert.Assert(t, fromFirst > fromRetry)
	assert.Assert(t, fromFirst > 800)
}

func simulateRetryingCallers(t *testing.T, keepGoalTime bool) int {
	t.Helper()
	const work, goal, patience, slots = 90 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 6
	var inTime atomic.Int64
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 32, FixedLimit: true})
		r := rand.New(rand.NewPCG(9, 9))
		callWithRetries := func(first time.Time) {
			for range 3 {
				goalStart := first
				if !keepGoalTime {
					goalStart = time.Now()
				}
				p, err := a.Admit(context.Background(), Work{
					Priority: compiler.PriorityNormal, Expected: work, Due: goalStart.Add(goal), Deadline: first.Add(patience), Retried: true,
				})
				if err == nil {
					time.Sleep(work)
					p.Done(Result{Latency: work})
					if time.Since(first) <= goal {
						inTime.Add(1)
					}
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		for range 2000 {
			time.Sleep(time.Duration(r.ExpFloat64() / (2 * slots) * float64(work)))
			go callWithRetries(time.Now())
		}
		time.Sleep(10 * time.Second)
	})
	return int(inTime.Load())
}

// TestContendedUpstreamUsesFewerSlots plays load above the capacity of an upstream
// that is 1.7 times slower from four fifths of its slots on, and of one that is
// not, and checks how many slots are used: with load that grows, and with too
// much from the start.
func TestContendedUpstreamUsesFewerSlots(t *testing.T) {
	const work, slots = 90 * time.Millisecond, 6
	for name, tc := range map[string]struct {
		contentionFactor float64
		initialLoad      float64 // Load at the start, as a share of the slots.
		wantLimit        int
	}{
		"slower when crowded":             {1.7, 0.4, 4},
		"as fast as ever":                 {1, 0.4, 6},
		"slower, crowded from the start":  {1.7, 1.5, 4},
		"as fast, crowded from the start": {1, 1.5, 6},
	} {
		t.Run(name, func(t *testing.T) {
			limit := 0
			synctest.Test(t, func(*testing.T) {
				a := New(Config{Slots: slots, Connections: 100, QueueLength: 8, FixedLimit: true})
				r := rand.New(rand.NewPCG(7, 8))
				for begin := time.Now(); time.Since(begin) < 10*time.Second; {
					load := max(tc.initialLoad, 0.4+0.8*time.Since(begin).Seconds()/10) // Up to too much.
					time.Sleep(time.Duration(r.ExpFloat64() / (load * slots) * float64(work)))
					took := float64(work) * (0.7 + 0.6*r.Float64())
					go func() {
						p, err := a.Admit(context.Background(), Work{Expected: work, Deadline: time.Now().Add(time.Second)})
						if err != nil {
							return
						}
						if a.InFlight() > 4 {
							took *= tc.contentionFactor
						}
						time.Sleep(time.Duration(took))
						p.Done(Result{Latency: time.Duration(took)})
					}()
				}
				limit = a.Load().Limit()
				time.Sleep(time.Minute)
			})
			assert.Equal(t, limit, tc.wantLimit)
		})
	}
}
