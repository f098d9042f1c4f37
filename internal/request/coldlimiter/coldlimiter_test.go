package coldlimiter

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

const (
	// testRate is the cold rate in the tests, in requests a second, and testColdStart the
	// length of a cold start.
	testRate      = 11
	testColdStart = 3 * time.Second
	// unlimited is the number of requests at which takeAll gives up.
	unlimited = 100
)

func newLimiter(stating bool) *Limiter {
	l := New(Config{Stating: stating, Scope: tally.NoopScope, Log: zerolog.Nop()})
	l.Configure(testRate, testColdStart)
	return l
}

// run runs a test in fake time with the limiter of an upstream that has just said that it is warm.
func run(t *testing.T, test func(t *testing.T, l *Limiter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(true)
		time.Sleep(time.Millisecond)
		respond(l, 0)
		test(t, l)
	})
}

// respond records a response to a read that begins now and takes a millisecond.
func respond(l *Limiter, remaining time.Duration) {
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	l.ObserveResponse(Response{Remaining: remaining, SentAt: sentAt})
}

// takeAll takes as many requests as may start now, at most unlimited, and returns their number.
func takeAll(l *Limiter) int {
	n := 0
	for now := time.Now(); n < unlimited && l.Wait(1, now) == 0; n++ {
		l.Take(now)
	}
	return n
}

// takeFor takes all requests that may start within d.
func takeFor(l *Limiter, d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n += takeAll(l)
	}
	return n
}

func assertCold(t *testing.T, l *Limiter, cause Cause) {
	t.Helper()
	status := l.Status(time.Now())
	assert.Equal(t, status.Cause, cause)
	assert.Equal(t, status.Cold, cause != "")
	assert.Equal(t, l.Report(time.Now()).Limited(), cause != "")
}

func assertWarm(t *testing.T, l *Limiter) {
	t.Helper()
	assertCold(t, l, "")
}

// TestColdUpstreamGetsItsRate checks that all of the rate is used and no second gets more than the rate and the burst.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		respond(l, 10*time.Second)
		most, total, window := 0, 0, []int{}
		for range 100 { // Tenths of a second.
			window = append(window, takeFor(l, 100*time.Millisecond))
			total += window[len(window)-1]
			last := 0
			for _, n := range window[max(len(window)-10, 0):] {
				last += n
			}
			most = max(most, last)
			l.ObserveHeartbeat(0)
		}
		assert.Assert(t, most <= testRate+minBurst+1, "%d in a second", most)
		assert.Assert(t, total >= 10*testRate-1, "%d in 10 s", total)
	})
}

func TestColdStartEndsByItsStatedTime(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		l.ObserveHeartbeat(1500 * time.Millisecond)
		assertCold(t, l, CauseStated)
		time.Sleep(1499 * time.Millisecond)
		assertCold(t, l, CauseStated)
		time.Sleep(time.Millisecond)
		assertWarm(t, l)
		assert.Equal(t, takeAll(l), unlimited)
	})
}

// TestRequestsSentJustBeforeCount guards against an upstream that turns cold under load and gets the cold rate on top of what it was just sent.
func TestRequestsSentJustBeforeCount(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		time.Sleep(time.Second)
		for range 9 {
			l.Take(time.Now())
		}
		respond(l, 3*time.Second)
		assert.Equal(t, takeAll(l), 0)
		assert.Equal(t, 9+takeFor(l, time.Second-time.Millisecond), testRate+minBurst)
	})
}

// TestRequestsSentToWarmUpstreamDoNotCount guards against an upstream that gets nothing for a second because of what it was sent while it was warm.
func TestRequestsSentToWarmUpstreamDoNotCount(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		for range 60 {
			l.Take(time.Now())
		}
		time.Sleep(transferMargin + 2*startSlotLength)
		respond(l, 0)
		respond(l, 3*time.Second)
		assert.Equal(t, takeAll(l), minBurst)
	})
}

// TestPauseIsADoubt guards against a node that was frozen, wakes with a full socket and sends it to an upstream that restarted meanwhile.
func TestPauseIsADoubt(t *testing.T) {
	for name, afterwards := range map[string]func(l *Limiter, readSentAt time.Time){
		"nothing":                      func(*Limiter, time.Time) {},
		"a heartbeat of before":        func(l *Limiter, _ time.Time) { l.ObserveHeartbeat(0) },
		"a response to a read of then": func(l *Limiter, sentAt time.Time) { l.ObserveResponse(Response{SentAt: sentAt}) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, l *Limiter) {
				readSentAt := time.Now()
				time.Sleep(8 * time.Second)
				afterwards(l, readSentAt)
				assertCold(t, l, CauseNoStatement)
				assert.Equal(t, takeAll(l), minBurst)
				assert.Equal(t, len(l.Requests()), 1)
				respond(l, 0)
				assertWarm(t, l)
			})
		})
	}
}

// TestPauseAfterTheClockWasReadIsADoubt guards against requests that were being admitted when the node was frozen.
func TestPauseAfterTheClockWasReadIsADoubt(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		before := time.Now()
		time.Sleep(8 * time.Second)
		n := 0
		for ; n < unlimited && l.Wait(1, before) == 0; n++ {
			l.Take(before)
		}
		assert.Equal(t, n, minBurst)
	})
}

func TestPauseFillsOnlyTheBurst(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		l.ObserveHeartbeat(time.Minute)
		takeAll(l)
		time.Sleep(8 * time.Second)
		assert.Equal(t, takeAll(l), minBurst)
	})
}

func TestDoubtEndsOnlyByLaterStatement(t *testing.T) {
	for name, tc := range map[string]struct {
		state func(l *Limiter, doubtAt time.Time)
		warm  bool
	}{
		"response to a later read": {func(l *Limiter, _ time.Time) { respond(l, 0) }, true},
		"response that names no time": {func(l *Limiter, at time.Time) {
			l.ObserveResponse(Response{Implied: true, SentAt: at.Add(time.Millisecond)})
		}, true},
		"response to an earlier read": {func(l *Limiter, at time.Time) { l.ObserveResponse(Response{SentAt: at.Add(-time.Millisecond)}) }, false},
		"heartbeat":                   {func(l *Limiter, _ time.Time) { l.ObserveHeartbeat(0) }, false},
		"heartbeat sent for sure after it": {func(l *Limiter, _ time.Time) {
			time.Sleep(heartbeatMaxDelay)
			l.ObserveHeartbeat(0)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, l *Limiter) {
				doubtAt := time.Now()
				l.Doubt(CauseReturned)
				time.Sleep(time.Millisecond)
				tc.state(l, doubtAt)
				if tc.warm {
					assertWarm(t, l)
					return
				}
				assertCold(t, l, CauseReturned)
			})
		})
	}
}

func TestStatedColdStartIsShortenedOnlyByStatedTime(t *testing.T) {
	for name, tc := range map[string]struct {
		state func(l *Limiter)
		warm  bool
	}{
		"later response":              {func(l *Limiter) { respond(l, 0) }, true},
		"heartbeat":                   {func(l *Limiter) { l.ObserveHeartbeat(0) }, false},
		"response that names no time": {func(l *Limiter) { l.ObserveResponse(Response{Implied: true, SentAt: time.Now()}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, l *Limiter) {
				respond(l, 2*time.Second)
				time.Sleep(time.Millisecond)
				tc.state(l)
				if tc.warm {
					assertWarm(t, l)
					return
				}
				assertCold(t, l, CauseStated)
			})
		})
	}
}

// TestNewIncarnationIsColdUntilItSaysOtherwise guards against an upstream that just started and gets what its predecessor bore.
func TestNewIncarnationIsColdUntilItSaysOtherwise(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		for range 60 {
			l.Take(time.Now())
		}
		l.Replace()
		assertCold(t, l, CauseReplaced)
		assert.Equal(t, takeAll(l), minBurst) // What the predecessor got does not count.
		respond(l, time.Second)
		assertCold(t, l, CauseStated)
	})
}

// TestRestartedNodeIsInDoubt guards against a node that was restarted and does not know that its upstream is cold.
func TestRestartedNodeIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(true)
		assertCold(t, l, CauseNodeStarted)
		assert.Assert(t, l.InDoubt())
		assert.Equal(t, takeAll(l), 0) // What the process before it sent is unknown.
		time.Sleep(time.Minute)
		assertCold(t, l, CauseNodeStarted)
	})
}

func TestUpstreamThatStatesNothingIsColdForItsColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(false)
		time.Sleep(testColdStart - time.Millisecond)
		assertCold(t, l, CauseNodeStarted)
		time.Sleep(time.Millisecond)
		assertWarm(t, l)
		time.Sleep(time.Minute)
		assertWarm(t, l)
		l.Doubt(CauseBrokenConnection)
		assertCold(t, l, CauseBrokenConnection)
	})
}

// TestServiceWithoutColdRateIsNotLimited guards against a changed decision for services that ask for nothing.
func TestServiceWithoutColdRateIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Stating: true, Scope: tally.NoopScope, Log: zerolog.Nop()})
		l.Configure(0, testColdStart)
		l.ObserveHeartbeat(time.Minute)
		l.Doubt(CauseReturned)
		assertWarm(t, l)
		assert.Assert(t, !l.InDoubt())
		assert.Equal(t, takeAll(l), unlimited)
		assert.Equal(t, len(l.Requests()), 0)
		l.Configure(testRate, testColdStart)
		assertCold(t, l, CauseReturned)
		assert.Equal(t, len(l.Requests()), 1)
		l.Configure(0, testColdStart)
		assertWarm(t, l)
	})
}

// TestAnySecondKeepsTheBound plays an upstream that restarts, turns cold unannounced and is cold or warm by turns, with a node that is paused at random.
func TestAnySecondKeepsTheBound(t *testing.T) {
	const bound = 1.5*testRate + 8
	for seed := range uint64(20) {
		run(t, func(t *testing.T, l *Limiter) {
			random := rand.New(rand.NewPCG(seed, 1))
			coldUntil := time.Now()
			var arrivals []time.Time // At the cold upstream.
			for range 6000 {         // Hundredths of a second.
				time.Sleep(10 * time.Millisecond)
				switch random.IntN(400) {
				case 0:
					coldUntil = time.Now().Add(testColdStart)
					arrivals = nil
				case 1:
					time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
				}
				select {
				case <-l.Requests():
					respond(l, max(time.Until(coldUntil), 0))
				default:
				}
				now := time.Now()
				if random.IntN(2) == 0 && l.Wait(1, now) == 0 {
					l.Take(now)
					if now.Before(coldUntil) {
						arrivals = append(arrivals, now)
					}
				}
				for len(arrivals) > 0 && now.Sub(arrivals[0]) >= time.Second {
					arrivals = arrivals[1:]
				}
				assert.Assert(t, float64(len(arrivals)) <= bound, "seed %d: %d requests", seed, len(arrivals))
			}
		})
	}
}

// TestStatementIsRequestedNowAndThen checks how often the health of an upstream in use is read.
func TestStatementIsRequestedNowAndThen(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		reads := 0
		for range 1000 { // Hundredths of a second.
			time.Sleep(10 * time.Millisecond)
			l.Take(time.Now())
			select {
			case <-l.Requests():
				reads++
				respond(l, 0)
			default:
			}
		}
		most := 1 + int(10*time.Second/refreshAge)
		assert.Assert(t, reads > most/2 && reads <= most, "%d reads", reads)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(l.Requests()), 0) // An idle one is not read.
	})
}

// TestWaitOfADoubtIsShort guards against entry nodes that pass a warm upstream over, and callers that
// stay away, for the time in which a cold one would have room, although the doubt has long ended.
func TestWaitOfADoubtIsShort(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		for range 60 {
			l.Take(time.Now())
		}
		l.Doubt(CauseBrokenConnection)
		assert.Equal(t, l.Wait(1, time.Now()), minDoubt)
		assert.Equal(t, l.Report(time.Now()).Wait, minDoubt)
		time.Sleep(5 * minDoubt)
		assert.Equal(t, l.Wait(1, time.Now()), 5*minDoubt) // The read of health has not helped.
	})
}

func TestWaitOfAColdUpstreamInDoubtIsThatOfItsRate(t *testing.T) {
	run(t, func(t *testing.T, l *Limiter) {
		respond(l, 3*time.Second)
		takeAll(l)
		wait := l.Wait(1, time.Now())
		assert.Assert(t, wait > minDoubt, "%s", wait)
		l.Doubt(CauseBrokenConnection)
		assert.Equal(t, l.Wait(1, time.Now()), wait)
		assert.Equal(t, l.Report(time.Now()).Wait, wait)
	})
}
