package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// intervalUpstream is an upstream whose slowness is random in each interval. The
// slowness at the start of a request applies to all of its work.
type intervalUpstream struct {
	start           time.Time
	interval        time.Duration
	slowShare       float64 // Share of the intervals that are slow.
	slownessPercent int     // Slowness in slow intervals.
}

func (s *intervalUpstream) slowdown(now time.Time) sampler.Slowdown {
	n := now.Sub(s.start) / s.interval
	slowdown := sampler.Slowdown{SlownessPercent: 100, End: s.start.Add((n + 1) * s.interval)}
	if rand.New(rand.NewPCG(1, uint64(n))).Float64() < s.slowShare {
		slowdown.SlownessPercent = s.slownessPercent
	}
	return slowdown
}

// notifyChanges notifies a at the end of each interval until the given time.
func (s *intervalUpstream) notifyChanges(a *Admitter, until time.Time) {
	for time.Now().Before(until) {
		now := time.Now()
		time.Sleep(s.slowdown(now).End.Sub(now))
		a.SlowdownChanged()
	}
}

// outcomes counts requests by their outcome.
type outcomes struct{ inTime, late, refused int }

// simulatedWork is the work of the requests that simulate sends.
const simulatedWork = 90 * time.Millisecond

// simulate sends 25 requests a second at random intervals for 20 s and counts their
// outcomes. If delayStarts is false, the admitter does not know when slowdowns end and
// starts requests at once. expected is the work that the requests say they take.
func (s *intervalUpstream) simulate(t *testing.T, delayStarts bool, expected time.Duration) outcomes {
	t.Helper()
	const goal = 300 * time.Millisecond
	var mu sync.Mutex
	var got outcomes
	count := func(n *int) {
		mu.Lock()
		defer mu.Unlock()
		*n++
	}
	synctest.Test(t, func(*testing.T) {
		const length, perSecond = 20 * time.Second, 25
		s.start = time.Now()
		a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true, Slowdown: func(now time.Time) sampler.Slowdown {
			slowdown := s.slowdown(now)
			if !delayStarts {
				slowdown.End = time.Time{}
			}
			return slowdown
		}})
		end := time.Now().Add(length)
		go s.notifyChanges(a, end.Add(5*time.Second))
		random := rand.New(rand.NewPCG(2, 2))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			go func() {
				arrived := time.Now()
				p, err := a.Admit(context.Background(), Request{
					Priority: compiler.PriorityHigh, ExpectedWork: expected, LatencyGoalTime: arrived.Add(goal), Deadline: arrived.Add(5 * goal),
				})
				if err != nil {
					count(&got.refused)
					return
				}
				taken := sampler.SlowedDuration(simulatedWork, s.slowdown(time.Now()).SlownessPercent)
				time.Sleep(taken)
				p.Done(Result{Latency: taken})
				if time.Since(arrived) <= goal {
					count(&got.inTime)
				} else {
					count(&got.late)
				}
			}()
			synctest.Wait()
		}
		time.Sleep(10 * time.Second)
	})
	return got
}

// TestDelayingStartsDuringSlowdownsMeetsMoreGoals simulates an upstream that is five
// times slower in about a third of its intervals. It can handle the load only if no work
// starts in them.
func TestDelayingStartsDuringSlowdownsMeetsMoreGoals(t *testing.T) {
	const ms = time.Millisecond
	s := &intervalUpstream{interval: 150 * ms, slowShare: 0.35, slownessPercent: 500}
	immediate := s.simulate(t, false, simulatedWork)
	delayed := s.simulate(t, true, simulatedWork)
	t.Logf("started at once %+v, delayed %+v", immediate, delayed)
	assert.Equal(t, delayed.refused, 0)
	assert.Assert(t, 2*delayed.late <= immediate.late, "%+v, %+v", delayed, immediate)
}

// TestRoughlyExpectedWorkMeetsGoals plays the same load with requests whose work is
// unknown, as at a node that has just started, and with work assumed to take a third of the
// goal or half of what it takes.
func TestRoughlyExpectedWorkMeetsGoals(t *testing.T) {
	const ms = time.Millisecond
	s := &intervalUpstream{interval: 150 * ms, slowShare: 0.35, slownessPercent: 500}
	unknown := s.simulate(t, true, 0)
	for _, expected := range []time.Duration{100 * ms, 45 * ms} {
		assumed := s.simulate(t, true, expected)
		t.Logf("work unknown %+v, expected to take %v %+v", unknown, expected, assumed)
		assert.Assert(t, 2*(assumed.late+assumed.refused) <= unknown.late+unknown.refused)
	}
}

// TestStartDelayNeedsKnownEndAndTimeToWait checks that a slowdown without a known end
// delays no request, and that a request whose deadline allows no wait starts at once.
func TestStartDelayNeedsKnownEndAndTimeToWait(t *testing.T) {
	const ms = time.Millisecond
	slow := sampler.Slowdown{SlownessPercent: 500}
	for name, tc := range map[string]struct {
		left     time.Duration // Until the end of the slowdown, 0 if unknown.
		deadline time.Duration
		wait     time.Duration
	}{
		"unknown end":     {0, time.Second, 0},
		"known end":       {100 * ms, time.Second, 100 * ms},
		"no time to wait": {100 * ms, 120 * ms, 0},
		"early end":       {time.Millisecond, time.Second, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slowdown := slow
				if tc.left > 0 {
					slowdown.End = time.Now().Add(tc.left)
				}
				a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true, Slowdown: func(time.Time) sampler.Slowdown { return slowdown }})
				go func() {
					time.Sleep(tc.wait)
					a.SlowdownChanged()
				}()
				start := time.Now()
				p, err := a.Admit(context.Background(), Request{Priority: compiler.PriorityHigh, ExpectedWork: 30 * ms, LatencyGoalTime: start.Add(300 * ms), Deadline: start.Add(tc.deadline)})
				assert.NilError(t, err)
				assert.Equal(t, time.Since(start), tc.wait)
				p.Done(Result{Latency: 30 * ms})
			})
		})
	}
}

// TestHopelessWorkIsRefusedInTurn checks that a waiting request is refused instead of
// started if a slowdown leaves no way to meet its deadline.
func TestHopelessWorkIsRefusedInTurn(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var slowdown atomic.Pointer[sampler.Slowdown]
		slowdown.Store(&sampler.Slowdown{SlownessPercent: 100})
		a := New(Config{Slots: 1, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true, Slowdown: func(time.Time) sampler.Slowdown { return *slowdown.Load() }})
		running, err := a.Admit(context.Background(), Request{ExpectedWork: 30 * ms})
		assert.NilError(t, err)
		time.AfterFunc(30*ms, func() {
			slowdown.Store(&sampler.Slowdown{SlownessPercent: 500})
			running.Done(Result{Latency: 30 * ms})
		})
		start := time.Now()
		_, err = a.Admit(context.Background(), Request{Priority: compiler.PriorityHigh, ExpectedWork: 30 * ms, LatencyGoalTime: start.Add(100 * ms), Deadline: start.Add(140 * ms)})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason(), classifier.ReasonDeadline)
		assert.Equal(t, time.Since(start), 30*ms)
	})
}

// TestFirstAttemptIsRefusedRatherThanDelayedLong checks that a request that would wait long
// for the end of a slowdown is refused at once, so that another instance can run it.
func TestFirstAttemptIsRefusedRatherThanDelayedLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms = time.Millisecond
		var slowdown atomic.Pointer[sampler.Slowdown]
		slowdown.Store(&sampler.Slowdown{SlownessPercent: 500, End: time.Now().Add(140 * ms)})
		a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, LimitIgnoresLatency: true, Slowdown: func(time.Time) sampler.Slowdown { return *slowdown.Load() }})
		start := time.Now()
		_, err := a.Admit(context.Background(), Request{Priority: compiler.PriorityNormal, ExpectedWork: 90 * ms, LatencyGoalTime: start.Add(300 * ms), Deadline: start.Add(time.Second)})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason(), classifier.ReasonQueueSlow)
		assert.Equal(t, time.Since(start), time.Duration(0))
		// A request that prefers this instance waits as long as it can meet its goal.
		time.AfterFunc(140*ms, func() {
			slowdown.Store(&sampler.Slowdown{SlownessPercent: 100})
			a.SlowdownChanged()
		})
		_, err = a.Admit(context.Background(), Request{Priority: compiler.PriorityNormal, ExpectedWork: 90 * ms, LatencyGoalTime: start.Add(300 * ms), Deadline: start.Add(time.Second), PreferLocal: true})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 140*ms)
	})
}
