package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// callers are the callers of one kind of request.
type callers struct {
	name           string
	priority       compiler.Priority
	work           time.Duration
	goal, deadline time.Duration
	// rate returns how many requests arrive a second, at a time from the start of the load.
	rate func(at time.Duration) float64
	// organisation returns the caller's organisation; nil for none.
	organisation func(r *rand.Rand, at time.Duration) string
	// anonymous hides the organisation from the admitter.
	anonymous bool
	// atOnce makes refused callers repeat at once and five times, rather than after
	// Retry-After and twice.
	atOnce bool
}

// load is an open load on the nodes of one service.
type load struct {
	nodes, slots int
	seeds        uint64 // 1 if unset.
	length       time.Duration
	callers      []callers
	// down returns whether the upstreams serve nothing; nil for never.
	down func(at time.Duration) bool
	// uneven slows the upstreams fivefold in a quarter of the intervals of 150 ms, and by a half
	// with more than three quarters of the slots in use.
	uneven bool
	// countedFrom is the time of the first attempts from which callers are counted.
	countedFrom time.Duration
}

const (
	hopTime        = 5 * time.Millisecond // From one node to another and back.
	otherInstances = 3                    // Tried after a refusal.
)

// answered counts what callers of one kind or organisation got.
type answered struct{ sent, inTime, late, refused, slowlyRefused int }

func (n answered) credit() float64 { return float64(n.inTime) + 0.1*float64(n.late) }

// played is the result of a load.
type played struct {
	countedFrom    time.Duration
	mu             sync.Mutex
	byCallers      map[string]*answered
	byOrganisation map[string]*answered
	bySecond       []answered // By the second of the first attempt.
}

func (p *played) total() answered {
	var sum answered
	for _, n := range p.byCallers {
		sum.sent += n.sent
		sum.inTime += n.inTime
		sum.late += n.late
		sum.refused += n.refused
		sum.slowlyRefused += n.slowlyRefused
	}
	return sum
}

// count counts one outcome of callers whose first attempt was at the given time.
func (p *played) count(c callers, organisation string, at time.Duration, field func(*answered) *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at < p.countedFrom {
		return
	}
	second := int(at / time.Second)
	for len(p.bySecond) <= second {
		p.bySecond = append(p.bySecond, answered{})
	}
	for key, counts := range map[string]map[string]*answered{c.name: p.byCallers, organisation: p.byOrganisation} {
		if counts[key] == nil {
			counts[key] = &answered{}
		}
		*field(counts[key])++
	}
	*field(&p.bySecond[second])++
}

// table returns the counts by kind of callers.
func (p *played) table(title string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-14s %-12s %7s %7s %7s %7s %7s\n", title, "callers", "sent", "in time", "late", "refused", "slowly")
	for _, name := range sortedKeys(p.byCallers) {
		n := p.byCallers[name]
		fmt.Fprintf(&b, "%-14s %-12s %7d %7d %7d %7d %7d\n", "", name, n.sent, n.inTime, n.late, n.refused, n.slowlyRefused)
	}
	return b.String()
}

func sortedKeys(m map[string]*answered) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// play plays a load in fake time and returns what callers got.
func (l load) play(t *testing.T, overload compiler.Overload) *played {
	t.Helper()
	p := &played{countedFrom: l.countedFrom, byCallers: map[string]*answered{}, byOrganisation: map[string]*answered{}}
	for seed := range max(l.seeds, 1) {
		l.playSeed(t, overload, seed, p)
	}
	return p
}

func (l load) playSeed(t *testing.T, overload compiler.Overload, seed uint64, p *played) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		begin := time.Now()
		nodes := make([]*playedNode, l.nodes)
		for i := range nodes {
			nodes[i] = newPlayedNode(l, overload, i, begin)
		}
		for i, c := range l.callers {
			r := rand.New(rand.NewPCG(uint64(i), seed))
			go func() {
				for time.Since(begin) < l.length {
					at := time.Since(begin)
					time.Sleep(time.Duration(r.ExpFloat64() / max(c.rate(at), 0.1) * float64(time.Second)))
					organisation := ""
					if c.organisation != nil {
						organisation = c.organisation(r, at)
					}
					seed := r.Uint64()
					go p.call(c, organisation, nodes, begin, rand.New(rand.NewPCG(seed, 1)))
				}
			}()
		}
		time.Sleep(l.length + time.Minute)
	})
}

// call plays one caller, who returns after refusals.
func (p *played) call(c callers, organisation string, nodes []*playedNode, begin time.Time, r *rand.Rand) {
	first := time.Now()
	at := first.Sub(begin)
	p.count(c, organisation, at, func(n *answered) *int { return &n.sent })
	req := Request{
		Priority: c.priority, ExpectedWork: c.work, Organisation: organisation,
		LatencyGoalTime: first.Add(c.goal), Deadline: first.Add(c.deadline),
	}
	if c.anonymous {
		req.Organisation = ""
	}
	returns := 2
	if c.atOnce {
		returns = 5
	}
	slowly := false
	for attempt := 0; ; attempt++ {
		entered := time.Now()
		refusal := tryNodes(req, nodes, r)
		if refusal == nil {
			break
		}
		slowly = slowly || time.Since(entered) > c.goal/2
		left := time.Until(req.Deadline)
		if attempt == returns || left <= 0 {
			p.count(c, organisation, at, func(n *answered) *int { return &n.refused })
			if slowly {
				p.count(c, organisation, at, func(n *answered) *int { return &n.slowlyRefused })
			}
			return
		}
		if !c.atOnce {
			time.Sleep(min(refusal.RetryAfter(), left/3))
		}
	}
	switch took := time.Since(first); {
	case took <= c.goal:
		p.count(c, organisation, at, func(n *answered) *int { return &n.inTime })
	case took <= c.deadline:
		p.count(c, organisation, at, func(n *answered) *int { return &n.late })
	default:
		p.count(c, organisation, at, func(n *answered) *int { return &n.refused })
	}
}

// tryNodes sends a request to the less loaded of two nodes, and to others if it is refused.
func tryNodes(req Request, nodes []*playedNode, r *rand.Rand) *Refusal {
	order := r.Perm(len(nodes))
	if len(order) > 1 && nodes[order[1]].load() < nodes[order[0]].load() {
		order[0], order[1] = order[1], order[0]
	}
	var refusal *Refusal
	for i, n := range order[:min(len(order), 1+otherInstances)] {
		time.Sleep(hopTime)
		req.Retried = i > 0
		if refusal = nodes[n].serve(req, r); refusal == nil {
			return nil
		}
	}
	return refusal
}

// playedNode is one node with its upstream.
type playedNode struct {
	admitter *Admitter
	spec     load
	begin    time.Time
	upstream intervalUpstream
}

func newPlayedNode(l load, overload compiler.Overload, i int, begin time.Time) *playedNode {
	n := &playedNode{spec: l, begin: begin}
	cfg := Config{Slots: l.slots, Connections: 1100, QueueLength: 36, LimitIgnoresLatency: true, Overload: overload}
	if l.uneven {
		n.upstream = intervalUpstream{start: begin.Add(-time.Duration(i) * time.Hour), interval: 150 * time.Millisecond, slowShare: 0.25, slownessPercent: 500}
		cfg.Slowdown = n.upstream.slowdown
	}
	n.admitter = New(cfg)
	if l.uneven {
		go n.upstream.notifyChanges(n.admitter, begin.Add(l.length+30*time.Second))
	}
	return n
}

func (n *playedNode) load() int { return n.admitter.InFlight() + n.admitter.Load().Queued() }

// serve runs a request at the node, or returns why it was refused.
func (n *playedNode) serve(req Request, r *rand.Rand) *Refusal {
	if n.spec.down != nil && n.spec.down(time.Since(n.begin)) {
		return &Refusal{reason: classifier.ReasonConnect, retryAfter: time.Minute}
	}
	permit, err := n.admitter.Admit(context.Background(), req)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	took := time.Duration(float64(req.ExpectedWork) * (0.8 + 0.4*r.Float64()))
	if n.spec.uneven {
		if n.admitter.InFlight() > n.spec.slots*3/4 {
			took = took * 3 / 2
		}
		took = sampler.SlowedDuration(took, n.upstream.slowdown(time.Now()).SlownessPercent)
	}
	time.Sleep(took)
	permit.Done(Result{Latency: took})
	return nil
}
