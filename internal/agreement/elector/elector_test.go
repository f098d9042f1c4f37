package elector

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/testbed/switcher"
)

// group is a number of control instances over a network that loses, delays and doubles
// datagrams.
type group struct {
	start   time.Time
	network *switcher.Switcher
	random  *rand.Rand

	mu         sync.Mutex // Guards the fields below.
	electorate map[netip.AddrPort]Electorate
	accepted   map[netip.AddrPort]uint64
	instances  map[netip.AddrPort]*instance
}

// instance is one process. A frozen one handles what has reached it when it wakes.
type instance struct {
	*Elector
	frozen bool
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort("192.0.2." + strconv.Itoa(i+1) + ":7000")
}

func addresses(indexes ...int) []netip.AddrPort {
	list := make([]netip.AddrPort, len(indexes))
	for i, index := range indexes {
		list[i] = address(index)
	}
	return list
}

// runGroup runs a test in fake time with the given voters, besides others.
func runGroup(t *testing.T, seed uint64, voters, others int, test func(t *testing.T, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &group{
			start: time.Now(), network: switcher.New(seed), random: rand.New(rand.NewPCG(1, seed)),
			electorate: make(map[netip.AddrPort]Electorate), accepted: make(map[netip.AddrPort]uint64), instances: make(map[netip.AddrPort]*instance),
		}
		var all []int
		for i := range voters {
			all = append(all, i)
		}
		for i := range voters + others {
			g.electorate[address(i)] = Electorate{Epoch: 1, Voters: addresses(all...)}
			g.accepted[address(i)] = 1
			g.startInstance(i)
		}
		test(t, g)
		for i := range voters + others {
			g.stopInstance(i)
		}
		time.Sleep(time.Second) // Datagrams on their way.
	})
}

func (g *group) startInstance(i int) {
	self := address(i)
	e := New(Config{
		Self:   self,
		Needed: func() bool { return true },
		Electorate: func() Electorate {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.electorate[self]
		},
		AcceptedEpoch: func() uint64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.accepted[self]
		},
		OnElected: func(uint64) {},
		Transport: g.network.Endpoint(self),
		Now:       func() time.Duration { return time.Since(g.start) },
		Random:    rand.New(rand.NewPCG(2, g.random.Uint64())),
		Scope:     tally.NoopScope, Log: zerolog.Nop(),
	})
	g.instances[self] = &instance{Elector: e}
	e.Start()
}

func (g *group) stopInstance(i int) {
	if in := g.instances[address(i)]; !in.frozen {
		_ = in.Stop()
	}
}

func (g *group) setCut(i int, cut bool) {
	side := 0
	if cut {
		side = i + 1
	}
	g.network.SetSide(address(i), side)
}

// freeze stops an instance without a word, and wake lets it go on with what it had.
func (g *group) freeze(i int) {
	in := g.instances[address(i)]
	g.network.Freeze(address(i))
	in.tomb.Kill(nil)
	_ = in.tomb.Wait()
	in.frozen = true
}

func (g *group) wake(i int) {
	in := g.instances[address(i)]
	in.frozen = false
	g.network.Wake(address(i))
	in.tomb = tomb.Tomb{}
	in.Start()
}

// holders returns the indexes of the instances that hold a lease, also of frozen ones.
func (g *group) holders() []int {
	var list []int
	for i := range len(g.instances) {
		if _, held := g.instances[address(i)].Tenure(); held {
			list = append(list, i)
		}
	}
	return list
}

// watch checks for the given time that at most one instance holds, and returns for how long one
// did.
func (g *group) watch(t *testing.T, length time.Duration) time.Duration {
	t.Helper()
	const step = 5 * time.Millisecond
	held := time.Duration(0)
	for range length / step {
		time.Sleep(step)
		holders := g.holders()
		assert.Assert(t, len(holders) <= 1, "held by %v after %v", holders, time.Since(g.start))
		held += step * time.Duration(len(holders))
	}
	return held
}

// awaitHolder waits until one instance holds and returns it.
func (g *group) awaitHolder(t *testing.T, within time.Duration) int {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < within; {
		g.watch(t, 5*time.Millisecond)
		if holders := g.holders(); len(holders) == 1 {
			return holders[0]
		}
	}
	t.Fatalf("nobody held within %v", within)
	return 0
}

func TestOneHolderIsElectedAndStays(t *testing.T) {
	runGroup(t, 1, 5, 2, func(t *testing.T, g *group) {
		holder := g.awaitHolder(t, 3*time.Second)
		assert.Assert(t, holder < 5, "an instance that does not vote was elected")
		tenure, _ := g.instances[address(holder)].Tenure()
		held := g.watch(t, 20*time.Second)
		assert.Equal(t, held, 20*time.Second)
		after, _ := g.instances[address(holder)].Tenure()
		assert.Equal(t, after, tenure)
		for i := range 5 {
			known, ok := g.instances[address(i)].Holder()
			assert.Assert(t, ok && known == address(holder))
		}
		known, ok := g.instances[address(6)].Holder()
		assert.Assert(t, ok && slices.Contains(addresses(0, 1, 2, 3, 4), known), "one that does not vote names a voter")
	})
}

// A restarted voter does not know what it granted.
func TestNothingIsGrantedAfterAStart(t *testing.T) {
	runGroup(t, 1, 3, 0, func(t *testing.T, g *group) {
		assert.Equal(t, g.watch(t, leaseLength), time.Duration(0))
		holder := g.awaitHolder(t, 2*time.Second)
		for i := range 3 {
			if i != holder {
				g.stopInstance(i)
				g.startInstance(i)
				g.setCut(holder, true)
			}
		}
		g.watch(t, 5*time.Second)
	})
}

func TestHolderIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(g *group, holder int){
		"cut off": func(g *group, holder int) { g.setCut(holder, true) },
		"frozen":  func(g *group, holder int) { g.freeze(holder) },
	} {
		t.Run(name, func(t *testing.T) {
			runGroup(t, 3, 5, 0, func(t *testing.T, g *group) {
				holder := g.awaitHolder(t, 3*time.Second)
				fail(g, holder)
				time.Sleep(leaseLength)
				next := g.awaitHolder(t, 2*time.Second)
				assert.Assert(t, next != holder)
				time.Sleep(6 * time.Second)
				if g.instances[address(holder)].frozen {
					g.wake(holder)
				}
				g.setCut(holder, false)
				held := g.watch(t, 10*time.Second)
				assert.Assert(t, held > 9*time.Second, "held for %v", held)
			})
		})
	}
}

// TestHolderThatStopsIsReplacedAtOnce stops one holder after another, as when control instances are
// upgraded.
func TestHolderThatStopsIsReplacedAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		runGroup(t, seed, 3, 0, func(t *testing.T, g *group) {
			for range 3 {
				holder := g.awaitHolder(t, 3*time.Second)
				time.Sleep(leaseLength + leaseLength/2) // The others are not quiet any more.
				g.stopInstance(holder)
				next := g.awaitHolder(t, leaseLength/2)
				assert.Assert(t, next != holder)
				g.startInstance(holder)
				g.watch(t, 2*leaseLength)
			}
		})
	}
}

// An old holder, who has not heard of it, must not hold beside a new one whose majority is among
// other voters.
func TestVotersAreReplaced(t *testing.T) {
	for seed := range uint64(20) {
		runGroup(t, seed, 3, 4, func(t *testing.T, g *group) {
			holder := g.awaitHolder(t, 3*time.Second)
			joint := Electorate{Epoch: 2, Voters: addresses(3, 4, 5, 6), Previous: addresses(0, 1, 2)}
			final := Electorate{Epoch: 3, Voters: addresses(3, 4, 5, 6)}
			for _, next := range []Electorate{joint, final} {
				g.mu.Lock()
				for i := range 7 {
					if i != holder {
						g.electorate[address(i)], g.accepted[address(i)] = next, next.Epoch
					}
				}
				g.mu.Unlock()
				g.watch(t, time.Duration(g.random.Int64N(int64(500*time.Millisecond))))
			}
			held := g.watch(t, 8*time.Second)
			assert.Assert(t, held > 4*time.Second, "held for %v", held)
			assert.Assert(t, g.holders()[0] >= 3)
		})
	}
}

func TestAtMostOneHoldsUnderRandomFailures(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runGroup(t, seed, 5, 0, func(t *testing.T, g *group) {
				g.network.SetLoss(0.1)
				for range 20 {
					i, kind, length := g.random.IntN(5), g.random.IntN(3), time.Duration(g.random.Int64N(int64(3*time.Second)))
					switch kind {
					case 0:
						g.stopInstance(i)
						g.startInstance(i)
						g.watch(t, length)
					case 1:
						g.setCut(i, true)
						g.watch(t, length)
						g.setCut(i, false)
					case 2:
						g.freeze(i)
						g.watch(t, length)
						g.wake(i)
					}
				}
				held := g.watch(t, 10*time.Second)
				assert.Assert(t, held > 7*time.Second, "held for %v of 10s", held)
			})
		})
	}
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	for _, b := range [][]byte{nil, {1}, make([]byte, messageBytes), append(message{kind: kindRequest, candidate: 1}.encode(), 0)} {
		_, err := decodeMessage(b)
		assert.ErrorIs(t, err, errMalformedMessage)
	}
	m := message{kind: kindGrant, candidate: 3, round: 4, epoch: 5}
	got, err := decodeMessage(m.encode())
	assert.NilError(t, err)
	assert.Equal(t, got, m)
}
