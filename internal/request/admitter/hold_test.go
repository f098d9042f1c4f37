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

	"github.com/banyanscale/banyanscale/internal/process/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// slices is an upstream whose speed is drawn anew in each slice of time. Work is
// slowed to its end by the speed at which it begins.
type slices struct {
	start   time.Time
	length  time.Duration
	share   float64 // Of the slices that are slow.
	percent int     // How slow those are.
}

func (s *slices) spell(now time.Time) sampler.Spell {
	n := now.Sub(s.start) / s.length
	spell := sampler.Spell{SlownessPercent: 100, Ends: s.start.Add((n + 1) * s.length)}
	if rand.New(rand.NewPCG(1, uint64(n))).Float64() < s.share {
		spell.SlownessPercent = s.percent
	}
	return spell
}

// tell tells a of each change, as a reader of the upstream does.
func (s *slices) tell(a *Admitter, until time.Time) {
	for time.Now().Before(until) {
		now := time.Now()
		time.Sleep(s.spell(now).Ends.Sub(now))
		a.SpellChanged()
	}
}

// served counts what became of requests.
type served struct{ inTime, late, refused int }

// play sends requests of the given work at a steady rate for 20 s, and counts
// which are answered within due.
func (s *slices) play(t *testing.T, hold bool, perSecond float64, work, due time.Duration) served {
	t.Helper()
	var mu sync.Mutex
	var got served
	count := func(n *int) {
		mu.Lock()
		defer mu.Unlock()
		*n++
	}
	synctest.Test(t, func(*testing.T) {
		const length = 20 * time.Second
		s.start = time.Now()
		a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, FixedLimit: true, Spell: func(now time.Time) sampler.Spell {
			spell := s.spell(now)
			if !hold {
				spell.Ends = time.Time{}
			}
			return spell
		}})
		end := time.Now().Add(length)
		go s.tell(a, end.Add(5*time.Second))
		random := rand.New(rand.NewPCG(2, 2))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			go func() {
				arrived := time.Now()
				p, err := a.Admit(context.Background(), Work{
					Priority: compiler.PriorityHigh, Expected: work, Due: arrived.Add(due), Deadline: arrived.Add(5 * due),
				})
				if err != nil {
					count(&got.refused)
					return
				}
				taken := sampler.Slowed(work, s.spell(time.Now()).SlownessPercent)
				time.Sleep(taken)
				p.Done(Result{Latency: taken})
				if time.Since(arrived) <= due {
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

// TestSlowSpellsAreSatOut plays an upstream that is five times slower in a third
// of its slices, at a load that fits only if work does not begin in those.
func TestSlowSpellsAreSatOut(t *testing.T) {
	const ms = time.Millisecond
	s := &slices{length: 150 * ms, share: 0.35, percent: 500}
	without := s.play(t, false, 25, 90*ms, 300*ms)
	with := s.play(t, true, 25, 90*ms, 300*ms)
	t.Logf("begun at once %+v, held %+v", without, with)
	assert.Equal(t, with.refused, 0)
	assert.Assert(t, 2*with.late <= without.late, "%+v, %+v", with, without)
}

// TestStragglerIsNotSatOut checks that work begins at an upstream that is slow
// all the time, and that a request that cannot wait begins at once.
func TestStragglerIsNotSatOut(t *testing.T) {
	const ms = time.Millisecond
	slow := sampler.Spell{SlownessPercent: 500}
	for name, tc := range map[string]struct {
		left     time.Duration // Until the spell ends, 0 if that is not known.
		deadline time.Duration
		wait     time.Duration
	}{
		"no end is known":      {0, time.Second, 0},
		"the end is known":     {100 * ms, time.Second, 100 * ms},
		"no time is left":      {100 * ms, 120 * ms, 0},
		"nobody tells the end": {time.Millisecond, time.Second, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spell := slow
				if tc.left > 0 {
					spell.Ends = time.Now().Add(tc.left)
				}
				a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, FixedLimit: true, Spell: func(time.Time) sampler.Spell { return spell }})
				go func() {
					time.Sleep(tc.wait)
					a.SpellChanged()
				}()
				start := time.Now()
				p, err := a.Admit(context.Background(), Work{Priority: compiler.PriorityHigh, Expected: 30 * ms, Due: start.Add(300 * ms), Deadline: start.Add(tc.deadline)})
				assert.NilError(t, err)
				assert.Equal(t, time.Since(start), tc.wait)
				p.Done(Result{Latency: 30 * ms})
			})
		})
	}
}

// TestFirstAttemptGoesElsewhere checks that a request that would wait long for
// the end of a spell is refused at once, so that it can be placed elsewhere.
func TestFirstAttemptGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms = time.Millisecond
		var spell atomic.Pointer[sampler.Spell]
		spell.Store(&sampler.Spell{SlownessPercent: 500, Ends: time.Now().Add(140 * ms)})
		a := New(Config{Slots: 6, Connections: 100, QueueLength: 100, FixedLimit: true, Spell: func(time.Time) sampler.Spell { return *spell.Load() }})
		start := time.Now()
		_, err := a.Admit(context.Background(), Work{Priority: compiler.PriorityNormal, Expected: 90 * ms, Due: start.Add(300 * ms), Deadline: start.Add(time.Second)})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason(), classifier.ReasonQueueSlow)
		assert.Equal(t, time.Since(start), time.Duration(0))
		// One that is better answered here waits, as long as it can be in time.
		time.AfterFunc(140*ms, func() {
			spell.Store(&sampler.Spell{SlownessPercent: 100})
			a.SpellChanged()
		})
		_, err = a.Admit(context.Background(), Work{Priority: compiler.PriorityNormal, Expected: 90 * ms, Due: start.Add(300 * ms), Deadline: start.Add(time.Second), Stays: true})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 140*ms)
	})
}
