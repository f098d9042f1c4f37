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

// admitAll submits requests one after the other and returns the names of the
// admitted ones in order of admission. Each runs for its expected time.
func admitAll(t *testing.T, slots int, requests []namedRequest) []string {
	t.Helper()
	var mu sync.Mutex
	var order []string
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true})
		for _, r := range requests {
			req := r.req
			req.LatencyGoalTime = time.Now().Add(r.goal)
			req.Deadline = time.Now().Add(r.deadline)
			go func() {
				p, err := a.Admit(context.Background(), req)
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, r.name)
				mu.Unlock()
				time.Sleep(req.ExpectedWork)
				p.Done(Result{Latency: req.ExpectedWork})
			}()
			synctest.Wait()
		}
		time.Sleep(10 * time.Second)
	})
	return order
}

// namedRequest is a request with the time from its submission until its latency goal
// and its deadline.
type namedRequest struct {
	name           string
	goal, deadline time.Duration
	req            Request
}

func highPriority(name string, goal, deadline, expected time.Duration) namedRequest {
	return namedRequest{name, goal, deadline, Request{Priority: compiler.PriorityHigh, ExpectedWork: expected}}
}

// TestEarlierGoalIsDispatchedFirst checks that within a class the request with the
// earliest goal starts first, such as a nested call that a running request waits for.
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

// TestHighPriorityMayMissGoalWithinDeadline checks that a request of high priority that
// misses its goal is not refused if the next free slot lets it meet its deadline.
func TestHighPriorityMayMissGoalWithinDeadline(t *testing.T) {
	const ms = time.Millisecond
	order := admitAll(t, 2, []namedRequest{
		highPriority("order-1", 400*ms, 1200*ms, 150*ms),
		highPriority("order-2", 400*ms, 1200*ms, 150*ms),
		highPriority("call", 100*ms, 250*ms, 20*ms),
	})
	assert.DeepEqual(t, order, []string{"order-1", "order-2", "call"})
}

// TestOverloadMeetsMostGoals simulates a load of twice the capacity, with goals of five
// times the work, and checks that requests for most of the capacity meet their goal.
func TestOverloadMeetsMostGoals(t *testing.T) {
	const work, goal, slots = 90 * time.Millisecond, 450 * time.Millisecond, 6
	var inTime, refusedLate atomic.Int64
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 32, LimitIgnoresLatency: true})
		r := rand.New(rand.NewPCG(5, 6))
		for range 2000 {
			time.Sleep(time.Duration(r.ExpFloat64() / (2 * slots) * float64(work)))
			arrived := time.Now()
			req := Request{Priority: compiler.PriorityNormal, ExpectedWork: work, LatencyGoalTime: arrived.Add(goal), Deadline: arrived.Add(3 * goal), Retried: true}
			go func() {
				p, err := a.Admit(context.Background(), req)
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
	t.Logf("in time: %d of a capacity of 1000, refused late: %d", inTime.Load(), refusedLate.Load())
	assert.Assert(t, inTime.Load() > 700)
	assert.Assert(t, refusedLate.Load() < 100)
}

// TestLateOnArrivalIsDispatchedLast checks that a request that arrived too late for its
// goal does not delay those that can meet theirs, while one that became late in the
// queue starts before them.
func TestLateOnArrivalIsDispatchedLast(t *testing.T) {
	const ms = time.Millisecond
	order := admitAll(t, 1, []namedRequest{
		highPriority("first", 400*ms, 1200*ms, 150*ms),
		highPriority("late on arrival", 0, 900*ms, 100*ms),
		highPriority("in time", 400*ms, 1200*ms, 100*ms),
		highPriority("call", 100*ms, 350*ms, 20*ms),
	})
	assert.DeepEqual(t, order, []string{"first", "call", "in time", "late on arrival"})
}

// TestRequestPastItsGoalMayWait checks that the first attempt of a request that misses
// its goal may wait, since no other instance can meet the goal either.
func TestRequestPastItsGoalMayWait(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true})
		first, err := a.Admit(context.Background(), Request{ExpectedWork: 50 * ms})
		assert.NilError(t, err)
		time.AfterFunc(80*ms, func() { first.Done(Result{Latency: 80 * ms}) })
		time.Sleep(30 * ms)
		now := time.Now()
		late, err := a.Admit(context.Background(), Request{Priority: compiler.PriorityNormal, ExpectedWork: 50 * ms, LatencyGoalTime: now, Deadline: now.Add(time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(now), 50*ms)
		late.Done(Result{Latency: 50 * ms})
	})
}

// TestGoalFromFirstAttemptIsMetMoreOften simulates a load of twice the capacity with
// callers that retry after a refusal. It checks that more of them meet their goal if it
// counts from the first attempt rather than from each retry.
func TestGoalFromFirstAttemptIsMetMoreOften(t *testing.T) {
	fromRetry := simulateRetryingCallers(t, false)
	fromFirst := simulateRetryingCallers(t, true)
	t.Logf("in time, of a capacity of 1000: %d with goals from each attempt, %d from the first", fromRetry, fromFirst)
	assert.Assert(t, fromFirst > fromRetry)
	assert.Assert(t, fromFirst > 800)
}

func simulateRetryingCallers(t *testing.T, keepGoalTime bool) int {
	t.Helper()
	const work, goal, timeout, slots = 90 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 6
	var inTime atomic.Int64
	synctest.Test(t, func(*testing.T) {
		a := New(Config{Slots: slots, Connections: 100, QueueLength: 32, LimitIgnoresLatency: true})
		r := rand.New(rand.NewPCG(9, 9))
		callWithRetries := func(first time.Time) {
			for range 3 {
				goalStart := first
				if !keepGoalTime {
					goalStart = time.Now()
				}
				p, err := a.Admit(context.Background(), Request{
					Priority: compiler.PriorityNormal, ExpectedWork: work, LatencyGoalTime: goalStart.Add(goal), Deadline: first.Add(timeout), Retried: true,
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
