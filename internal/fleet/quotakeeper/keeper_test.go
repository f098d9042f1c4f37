package quotakeeper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// manualGrantor answers the asks of one keeper as a test tells it. Its clock may be set forward,
// as after a suspension of the machine, in which timers stand still.
type manualGrantor struct {
	*Keeper
	start     time.Time
	suspended atomic.Int64 // Nanoseconds.
	handler   courier.Handler

	guard sync.Mutex // Guards the fields below.
	// respond returns the grants for an ask, and when to answer; nil for no answer.
	respond func(a grantor.Ask) ([]grantor.Grant, time.Duration)
	asks    []grantor.Ask
	bytes   int
}

// Handle implements Transport.
func (m *manualGrantor) Handle(_ courier.Kind, h courier.Handler) { m.handler = h }

// Send implements Transport.
func (m *manualGrantor) Send(_ courier.Kind, to netip.AddrPort, payload []byte) error {
	ask, err := grantor.DecodeAsk(payload)
	if err != nil {
		return err
	}
	m.guard.Lock()
	defer m.guard.Unlock()
	m.asks = append(m.asks, ask)
	m.bytes += len(payload) + courier.Overhead
	grants, delay := m.respond(ask)
	if grants == nil {
		return nil
	}
	answer := grantor.Answer{
		Seq: ask.Seq, Tenure: 1, Interval: 20 * time.Millisecond, Validity: 250 * time.Millisecond, Lease: 10 * time.Second, Grants: grants,
	}
	time.AfterFunc(delay, func() { m.handler(to, answer.Encode()) })
	return nil
}

func (m *manualGrantor) setRespond(respond func(grantor.Ask) ([]grantor.Grant, time.Duration)) {
	m.guard.Lock()
	defer m.guard.Unlock()
	m.respond = respond
}

// sent returns the asks so far.
func (m *manualGrantor) sent() []grantor.Ask {
	m.guard.Lock()
	defer m.guard.Unlock()
	return slices.Clone(m.asks)
}

func (m *manualGrantor) now() time.Duration {
	return time.Since(m.start) + time.Hour + time.Duration(m.suspended.Load())
}

// grantAll grants what is wanted and leases of the wanted rate.
func grantAll(a grantor.Ask) ([]grantor.Grant, time.Duration) {
	grants := []grantor.Grant{}
	for _, r := range a.Records {
		grants = append(grants, grantor.Grant{Organisation: r.Organisation, Tokens: r.Wanted, Rate: r.Wish})
	}
	return grants, time.Millisecond
}

func silent(grantor.Ask) ([]grantor.Grant, time.Duration) { return nil, 0 }

// runKeeper runs a test in fake time of a keeper alone.
func runKeeper(t *testing.T, test func(t *testing.T, m *manualGrantor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &manualGrantor{start: time.Now(), respond: grantAll}
		m.Keeper = New(Config{
			Controls:  func() []netip.AddrPort { return []netip.AddrPort{controlAddress(0)} },
			Transport: m, Now: m.now, Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop(),
		})
		m.Start()
		test(t, m)
		assert.NilError(t, m.Stop())
		time.Sleep(time.Second) // Answers on their way.
	})
}

// takeFor takes requests at a rate for some time and returns how many were taken.
func (m *manualGrantor) takeFor(t *testing.T, perSecond int, length time.Duration) int {
	t.Helper()
	taken := 0
	for range int(length.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if ticket, _ := m.Take(t.Context(), organisation(t, "grande", 100, 0)); ticket.Taken() {
			taken++
		}
	}
	return taken
}

func TestSilentGrantorIsReplacedByTheLease(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		assert.Equal(t, m.takeFor(t, 40, 8*time.Second), 320) // Until the demand counts as usual.
		m.setRespond(silent)
		taken := m.takeFor(t, 40, 9*time.Second)
		assert.Assert(t, taken > 9*40*9/10, "%d taken", taken)
		taken = m.takeFor(t, 40, 5*time.Second)
		assert.Assert(t, taken < 2*40, "%d taken after the lease had ended", taken)
	})
}

// Leases and tokens must have ended when a machine wakes that was suspended, though timers have
// not noticed.
func TestNothingIsSpentAfterASuspension(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		assert.Equal(t, m.takeFor(t, 40, 3*time.Second), 120)
		m.setRespond(silent)
		m.suspended.Add(int64(11 * time.Second))
		o := organisation(t, "grande", 100, 0)
		for range 20 {
			assert.Assert(t, !m.TakeNow(o).Taken())
		}
	})
}

// A request that was taken before its process was suspended, or whose body stalls, is not sent by
// what was granted for an earlier window.
func TestTicketEnds(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		o := organisation(t, "grande", 100, 0)
		ticket, _ := m.Take(t.Context(), o)
		assert.Assert(t, m.Valid(ticket))
		m.suspended.Add(int64(time.Second))
		assert.Assert(t, !m.Valid(ticket))
		assert.Assert(t, !m.Valid(Ticket{}))
	})
}

func TestTokenMayBeUsedJustBeforeItsEnd(t *testing.T) {
	const validity = 250 * time.Millisecond
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		o := organisation(t, "grande", 100, 0)
		ticket, _ := m.Take(t.Context(), o)
		time.Sleep(validity - 3*time.Millisecond)
		m.Return(o, ticket)
		late := m.TakeNow(o)
		assert.Assert(t, late.Taken())
		time.Sleep(minSendTime - time.Millisecond)
		assert.Assert(t, m.Valid(late))
		time.Sleep(time.Millisecond)
		assert.Assert(t, !m.Valid(late))
	})
}

// An answer that comes late may be of a tenure that has ended.
func TestLateAnswerIsIgnored(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		m.setRespond(func(a grantor.Ask) ([]grantor.Grant, time.Duration) {
			grants, _ := grantAll(a)
			return grants, 2 * abandonAfter
		})
		assert.Equal(t, m.takeFor(t, 40, 2*time.Second), 0)
	})
}

func TestAnswerAfterASuspensionIsIgnored(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		o := organisation(t, "grande", 100, 0)
		m.setRespond(func(a grantor.Ask) ([]grantor.Grant, time.Duration) {
			time.AfterFunc(time.Millisecond, func() { m.suspended.Add(int64(time.Second)) })
			return []grantor.Grant{{Organisation: a.Records[0].Organisation, Tokens: 9, Rate: 9}}, 2 * time.Millisecond
		})
		ticket, _ := m.Take(t.Context(), o)
		assert.Assert(t, !ticket.Taken())
		assert.Equal(t, m.Status().Organisations[0].Lease, 0.0)
	})
}

func TestAskIsRepeatedUntilAnswered(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		m.setRespond(func(a grantor.Ask) ([]grantor.Grant, time.Duration) {
			if len(m.asks) < 3 {
				return nil, 0
			}
			return grantAll(a)
		})
		ticket, _ := m.Take(t.Context(), organisation(t, "grande", 100, 0))
		assert.Assert(t, ticket.Taken())
		asks := m.sent()
		assert.DeepEqual(t, asks[0], asks[2])
	})
}

func TestRequestIsRefusedAtOnceIfThereIsNoRoom(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		m.setRespond(func(a grantor.Ask) ([]grantor.Grant, time.Duration) {
			grants, delay := grantAll(a)
			for i := range grants {
				grants[i].Tokens, grants[i].Wait = 0, 3*time.Second
			}
			return grants, delay
		})
		begin := time.Now()
		o := organisation(t, "grande", 100, 0)
		for range 10 {
			ticket, retryAfter := m.Take(t.Context(), o)
			assert.Assert(t, !ticket.Taken())
			assert.Assert(t, retryAfter > 2*time.Second)
		}
		assert.Assert(t, time.Since(begin) < 10*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, len(m.sent()) < 12, "%d asks", len(m.sent()))
	})
}

func TestReturnedTokenIsSpentAgainWhileItIsValid(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		o := organisation(t, "grande", 100, 0)
		ticket, _ := m.Take(t.Context(), o)
		assert.Assert(t, ticket.Taken())
		m.setRespond(silent)
		assert.Assert(t, !m.TakeNow(o).Taken())
		m.Return(o, ticket)
		assert.Assert(t, m.TakeNow(o).Taken())
		time.Sleep(time.Second)
		m.Return(o, ticket)
		assert.Assert(t, !m.TakeNow(o).Taken(), "a token was spent after its end")
	})
}

func TestUnusedTokensAreReturned(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		taken := m.takeFor(t, 90, 2*time.Second)
		time.Sleep(8 * time.Second) // Until demand has fallen and what was held has ended.
		wanted, returned := 0, 0
		asks := m.sent()
		for i, a := range asks {
			for _, r := range a.Records {
				if i == 0 || a.Seq != asks[i-1].Seq {
					wanted, returned = wanted+r.Wanted, returned+r.Returned
				}
			}
		}
		assert.Equal(t, taken, 180)
		assert.Equal(t, wanted-returned, taken)
	})
}

// A node that was told of a lower limit keeps it, whatever the grantor grants.
func TestOwnLimitHolds(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		taken := 0
		lower := organisation(t, "grande", 10, 0)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if ticket, _ := m.Take(t.Context(), lower); ticket.Taken() {
				taken++
			}
		}
		assert.Assert(t, taken <= 10*10+ownSlack+3, "%d taken", taken)
	})
}

// What a node sends stays bounded with 10,000 organisations that all have requests, and the usual
// load of a node is served within it.
func TestBytesAreBounded(t *testing.T) {
	const length = 20 * time.Second
	organisations := manyOrganisations(t, 10_000)
	for perSecond, neededShare := range map[int]float64{143: 0.99, 1000: 0} {
		runKeeper(t, func(t *testing.T, m *manualGrantor) {
			taken := m.takeAnyFor(t, organisations, perSecond, length)
			m.guard.Lock()
			defer m.guard.Unlock()
			sent := perSecond * int(length.Seconds())
			t.Logf("%d bytes, %d asks, %d of %d taken", m.bytes, len(m.asks), taken, sent)
			allowed := bytesPerSecond*(length+maxWait+burstTime).Seconds() + courier.MaxPayload + courier.Overhead
			assert.Check(t, float64(m.bytes) <= allowed, "%d bytes", m.bytes)
			assert.Check(t, float64(taken) >= neededShare*float64(sent), "%d of %d taken", taken, sent)
		})
	}
}

// takeAnyFor takes requests of random organisations, without waiting for one before the next. It
// returns how many were taken.
func (m *manualGrantor) takeAnyFor(t *testing.T, organisations []*compiler.Organisation, perSecond int, length time.Duration) int {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 3))
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range perSecond * int(length.Seconds()) {
		o := organisations[random.IntN(len(organisations))]
		wg.Go(func() {
			if ticket, _ := m.Take(t.Context(), o); ticket.Taken() {
				taken.Add(1)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return int(taken.Load())
}

// manyOrganisations returns organisations with quotas.
func manyOrganisations(t *testing.T, count int) []*compiler.Organisation {
	t.Helper()
	text := "[owner tienda]\nidle-rate = 0\ncurrency = MXN\n[service almacen]\nowner = tienda\nhosts = none\n"
	for i := range count {
		text += "[organisation org-" + strconv.Itoa(i) + "]\nrate = 100\n"
	}
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(text)}})
	assert.NilError(t, err)
	cfg, err := compiler.Compile(doc, "oaxaca", 1)
	assert.NilError(t, err)
	return slices.Collect(cfg.Organisations().All())
}

// The grantor counts a lease until it hears that the node does not hold it any more.
func TestGivenUpLeaseIsReported(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		m.takeFor(t, 40, 3*time.Second)
		time.Sleep(20 * time.Second)
		asks := m.sent()
		records := asks[len(asks)-1].Records
		assert.Assert(t, len(records) == 1 && records[0].Held == 0 && records[0].Wish == 0, "%v", records)
	})
}

func TestIdleAccountsAreForgotten(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		for i := range 50 {
			_, _ = m.Take(t.Context(), organisation(t, "org-"+strconv.Itoa(i), 100, 0))
		}
		time.Sleep(time.Minute)
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Equal(t, len(m.accounts), 0)
		assert.Equal(t, len(m.due), 0)
	})
}

// growingCounter is a counter of a metric, which must not decrease.
type growingCounter struct{ t *testing.T }

func (c growingCounter) Inc(delta int64) {
	assert.Assert(c.t, delta >= 0, "the counter decreased by %d", -delta)
}

func TestReturnedRequestDecreasesNoCounter(t *testing.T) {
	runKeeper(t, func(t *testing.T, m *manualGrantor) {
		o := organisation(t, "grande", 100, 0)
		ticket, _ := m.Take(t.Context(), o)
		counter := growingCounter{t}
		m.named["grande"] = organisationMetrics{taken: counter, refused: counter}
		flush := func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.flushMetrics()
		}
		flush()
		m.Return(o, ticket)
		flush()
		assert.Equal(t, m.Status().Organisations[0].Taken, int64(0))
	})
}
