package grantor

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
	begun   = time.Hour
)

var (
	gradas   = IDOf("gradas")
	allNodes = []netip.AddrPort{address(0), address(1), address(2)}
)

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort("192.0.2." + strconv.Itoa(i+1) + ":7000")
}

// fixture is a grantor with one limited organisation, and the sequence numbers of its nodes.
type fixture struct {
	*Grantor
	limit Limit
	seqs  map[netip.AddrPort]uint32
}

// newFixture returns a grantor with the given limit whose tenure has begun. The nodes may hold
// leases of earlier ones.
func newFixture(limit Limit, nodes ...netip.AddrPort) *fixture {
	f := &fixture{limit: limit, seqs: make(map[netip.AddrPort]uint32)}
	f.Grantor = New(Config{Window: window, Overage: overage, Slack: slack, Limit: func(id OrganisationID) (Limit, bool) {
		return f.limit, id == gradas
	}})
	f.Begin(7, nodes, begun)
	return f
}

// ask sends an ask with one record as the next one of a node.
func (f *fixture) ask(t *testing.T, node int, r AskRecord, now time.Duration) Grant {
	t.Helper()
	from := address(node)
	f.seqs[from]++
	r.Organisation = gradas
	answer, ok := f.Ask(from, Ask{Seq: f.seqs[from], Start: 1, Tenure: 7, Complete: true, Records: []AskRecord{r}}, now)
	assert.Assert(t, ok)
	return answer.Grants[0]
}

func TestTokensAreGrantedUpToTheBurstAndThenByTheRate(t *testing.T) {
	f := newFixture(Limit{Rate: 10, Burst: 30})
	now := begun + time.Minute
	first := f.ask(t, 0, AskRecord{Wanted: 1000}, now)
	assert.Equal(t, first.Tokens, 36, "burst, a fifth of the overage, a quarter of the slack")
	assert.Equal(t, first.Wait, 100*time.Millisecond)
	next := f.ask(t, 1, AskRecord{Wanted: 1000}, now+time.Second)
	assert.Equal(t, next.Tokens, 10)
}

func TestRepeatedAskIsAnsweredOnce(t *testing.T) {
	f := newFixture(Limit{Rate: 10, Burst: 30})
	now := begun + time.Minute
	ask := Ask{Seq: 5, Start: 1, Tenure: 7, Records: []AskRecord{{Organisation: gradas, Wanted: 20}}}
	first, ok := f.Ask(address(0), ask, now)
	assert.Assert(t, ok)
	again, ok := f.Ask(address(0), ask, now+10*time.Millisecond)
	assert.Assert(t, ok)
	assert.DeepEqual(t, again, first)
	assert.Equal(t, f.ask(t, 1, AskRecord{Wanted: 1000}, now+10*time.Millisecond).Tokens, 16)
	older := ask
	older.Seq = 4
	_, ok = f.Ask(address(0), older, now+20*time.Millisecond)
	assert.Assert(t, !ok, "an older ask was answered")
}

func TestLeasesTogetherStayWithinTheRate(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 5})
	now := begun + time.Minute
	held := make([]float64, 16)
	for round := range 6 {
		total := 0.0
		for i := range held {
			held[i] = f.ask(t, i, AskRecord{Held: held[i], Wish: 40}, now).Rate
			now += 10 * time.Millisecond
		}
		for _, rate := range held {
			total += rate
		}
		assert.Assert(t, total <= leasableShare*100+1e-9, "%v in round %d", held, round)
	}
	for _, rate := range held {
		assert.Assert(t, rate > 4.5 && rate < 7.5, "%v", held)
	}
}

// leaseAll lets the nodes 0 to 9 lease all that may be leased of a rate of 100: 10 each, the last
// one 5. It returns the time of that.
func (f *fixture) leaseAll(t *testing.T) time.Duration {
	t.Helper()
	now := begun + time.Minute
	for i := range 10 {
		f.ask(t, i, AskRecord{Wanted: 1000, Wish: 10}, now)
	}
	return now
}

func TestNodeLeasesAtMostItsShare(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 5})
	assert.Equal(t, f.ask(t, 0, AskRecord{Wish: 80}, begun).Rate, 10.0)
}

// A lease that a node may still hold counts until the node says otherwise.
func TestLeaseCountsUntilTheNodeHasGivenItUp(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 5})
	now := f.leaseAll(t)
	assert.Equal(t, f.ask(t, 0, AskRecord{Held: 10}, now).Rate, 0.0)
	assert.Equal(t, f.ask(t, 10, AskRecord{Wish: 5}, now).Rate, 0.0)
	f.ask(t, 0, AskRecord{}, now)
	assert.Equal(t, f.ask(t, 10, AskRecord{Wish: 5}, now).Rate, 5.0)
}

func TestBucketPaysTheLeasesOfSilentNodes(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 50})
	now := f.leaseAll(t)
	end := now + 3*time.Second
	for ; now < end; now += 50 * time.Millisecond {
		f.Tick(now)
	}
	silentTokens := f.ask(t, 10, AskRecord{Wanted: 1000}, end).Tokens
	assert.Equal(t, silentTokens, 15, "5 a second are left")
	assert.Equal(t, f.ask(t, 0, AskRecord{Wanted: 1000, Held: 10, Wish: 10, Spent: 4}, end).Tokens, 26, "30 after the refund, and 4 were spent")
}

func TestLeaseOfALostNodeEnds(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 5})
	now := f.leaseAll(t)
	f.Tick(now + f.cfg.Lease() - time.Millisecond)
	assert.Equal(t, f.ask(t, 10, AskRecord{Wish: 9}, now+f.cfg.Lease()-time.Millisecond).Rate, 0.0)
	f.Tick(now + f.cfg.Lease())
	assert.Equal(t, f.ask(t, 10, AskRecord{Wish: 9}, now+f.cfg.Lease()).Rate, 9.0)
}

func TestRestartedNodeFreesItsLease(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 5})
	now := f.leaseAll(t)
	restarted := Ask{Seq: 1, Start: 2, Tenure: 7, Records: []AskRecord{{Organisation: gradas}}}
	_, ok := f.Ask(address(0), restarted, now)
	assert.Assert(t, ok)
	assert.Equal(t, f.ask(t, 10, AskRecord{Wish: 5}, now).Rate, 5.0)
	late := Ask{Seq: 9, Start: 1, Tenure: 7}
	_, ok = f.Ask(address(0), late, now)
	assert.Assert(t, !ok, "a datagram of the process that ended was answered")
}

// A new grantor must not grant what nodes may hold that it has not heard from.
func TestNewGrantorLeavesOutWhatUnreportedNodesMayHold(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 50}, allNodes...)
	now := begun + 500*time.Millisecond
	f.ask(t, 0, AskRecord{Held: 4, Wish: 4}, begun)
	f.ask(t, 1, AskRecord{Wish: 4}, begun)
	tokens := f.ask(t, 0, AskRecord{Held: 4, Wish: 4, Wanted: 1000}, now).Tokens
	assert.Equal(t, tokens, 45, "the rate without the share of one node")
	assert.Equal(t, f.ask(t, 1, AskRecord{Wish: 4}, now).Rate, 0.0)
	assert.Equal(t, len(f.Unreported()), 1)
	f.ask(t, 2, AskRecord{}, now)
	assert.Equal(t, len(f.Unreported()), 0)
	assert.Equal(t, f.ask(t, 0, AskRecord{Held: 4, Wish: 4, Wanted: 1000}, now+500*time.Millisecond).Tokens, 50)
}

func TestNewGrantorWithManyUnreportedNodes(t *testing.T) {
	var nodes []netip.AddrPort
	for i := range 20 {
		nodes = append(nodes, address(i))
	}
	f := newFixture(Limit{Rate: 100, Burst: 50}, nodes...)
	f.ask(t, 0, AskRecord{Held: 4, Wish: 4}, begun)
	tokens := f.ask(t, 0, AskRecord{Held: 4, Wish: 4, Wanted: 1000}, begun+2*time.Second).Tokens
	assert.Equal(t, tokens, 18, "what cannot be leased, and what is leased to the node that reported")
}

// Nothing of a small limit is leased, so that a new grantor knows all of it.
func TestNewGrantorKnowsSmallLimitsAtOnce(t *testing.T) {
	f := newFixture(Limit{Rate: 10, Burst: 50}, allNodes...)
	assert.Equal(t, f.ask(t, 0, AskRecord{Wish: 4}, begun).Rate, 0.0)
	assert.Equal(t, f.ask(t, 0, AskRecord{Wish: 4, Wanted: 1000}, begun+time.Second).Tokens, 10)
}

func TestNewGrantorGrantsAllOnceOldLeasesHaveEnded(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 50}, allNodes...)
	end := begun + f.cfg.Lease()
	f.Tick(end - time.Millisecond)
	assert.Equal(t, f.ask(t, 0, AskRecord{Wanted: 1000}, end-time.Millisecond).Tokens, 0)
	f.Tick(end)
	assert.Equal(t, f.ask(t, 0, AskRecord{Wanted: 1000}, end+500*time.Millisecond).Tokens, 50)
}

func TestTokensAreValidWithoutAnOverage(t *testing.T) {
	g := New(Config{Window: window, Limit: func(OrganisationID) (Limit, bool) { return Limit{Rate: 10, Burst: 1}, true }})
	g.Begin(7, nil, begun)
	answer, ok := g.Ask(address(0), Ask{Seq: 1, Start: 1, Tenure: 7}, begun)
	assert.Assert(t, ok)
	assert.Equal(t, answer.Validity, minValidity)
}

func TestLowerLimitHoldsAtOnce(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 100})
	now := begun + time.Minute
	f.ask(t, 0, AskRecord{Wish: 80}, now)
	f.limit = Limit{Rate: 2}
	grant := f.ask(t, 0, AskRecord{Held: 80, Wish: 80, Wanted: 1000}, now)
	assert.Equal(t, grant.Tokens, 5, "a quarter of the slack")
	assert.Assert(t, grant.Rate <= 2)
}

func TestUnknownOrganisationGetsNothing(t *testing.T) {
	f := newFixture(Limit{Rate: 100})
	answer, ok := f.Ask(address(0), Ask{Seq: 1, Start: 1, Records: []AskRecord{{Organisation: 3, Wanted: 9, Wish: 9}}}, begun)
	assert.Assert(t, ok)
	assert.DeepEqual(t, answer.Grants, []Grant{{Organisation: 3, Wait: window}})
}

func TestUnusedPoolsAndNodesAreForgotten(t *testing.T) {
	f := newFixture(Limit{Rate: 100, Burst: 1})
	f.ask(t, 0, AskRecord{Wanted: 5, Wish: 3}, begun)
	f.Tick(begun + time.Minute)
	f.Tick(begun + 2*time.Minute)
	assert.Equal(t, len(f.nodes)+len(f.pools), 0)
}

func TestMessagesAreDecodedAsEncoded(t *testing.T) {
	ask := Ask{Seq: 1, Start: 2, Tenure: 3, Complete: true, Records: []AskRecord{
		{Organisation: gradas, Wanted: 1, Returned: 2, Spent: 3, Held: 4.5, Wish: 6.25}, {Organisation: 9, Wanted: 65535},
	}}
	gotAsk, err := DecodeAsk(ask.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, gotAsk, ask)
	for _, m := range []interface{ Encode() []byte }{
		Answer{Seq: 1, Tenure: 2, Interval: time.Second, Validity: 3 * time.Millisecond, Lease: 60 * time.Second, Grants: []Grant{{Organisation: gradas, Tokens: 4, Rate: 5.5, Wait: time.Second}}},
		Redirect{Seq: 4}, Redirect{Seq: 4, Grantor: address(3)}, Greeting{Tenure: 5},
	} {
		got, err := DecodeToNode(m.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, any(m), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		b := make([]byte, random.IntN(80))
		for i := range b {
			b[i] = byte(random.IntN(4))
		}
		if _, err := DecodeAsk(b); err != nil {
			assert.ErrorIs(t, err, errMalformedMessage)
		}
		if _, err := DecodeToNode(b); err != nil {
			assert.ErrorIs(t, err, errMalformedMessage)
		}
	}
}

// BenchmarkAsk measures an ask with ten organisations, from one of 2,800 nodes.
func BenchmarkAsk(b *testing.B) {
	g := New(Config{Window: window, Overage: overage, Slack: slack, Limit: func(OrganisationID) (Limit, bool) {
		return Limit{Rate: 1000, Burst: 100}, true
	}})
	g.Begin(1, nil, begun)
	now := begun
	for i := range b.N {
		node := i % 2800
		now += 200 * time.Microsecond
		ask := Ask{Seq: uint32(i + 1), Start: 1, Tenure: 1, Complete: true}
		for j := range 10 {
			ask.Records = append(ask.Records, AskRecord{Organisation: OrganisationID((node*10 + j) % 10_000), Wanted: 1, Wish: 2})
		}
		decoded, err := DecodeAsk(ask.Encode())
		if err != nil {
			b.Fatal(err)
		}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(node >> 8), byte(node)}), 7000)
		answer, _ := g.Ask(from, decoded, now)
		_ = answer.Encode()
		if i%250 == 0 {
			g.Tick(now)
		}
	}
}
