package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/banyanscale/banyanscale/internal/process/distributor"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// faultLength is how long a fault lasts at least.
const faultLength = 30 * time.Second

// fault is one row of the matrix. It returns the nodes that it hits, of which
// nothing is expected while it lasts.
type fault struct {
	name  string
	begin func(fl *fleet) []*fakeNode
}

func faults() []fault {
	last := func(fl *fleet) *fakeNode { return fl.nodes[9] }
	return []fault{
		{"none", func(*fleet) []*fakeNode { return nil }},
		{"20 % of datagrams lost", func(fl *fleet) []*fakeNode { fl.change(func() { fl.loss = 0.2 }); return nil }},
		{"delays of up to 300 ms, out of order", func(fl *fleet) []*fakeNode { fl.change(func() { fl.maxDelay = 300 * time.Millisecond }); return nil }},
		{"datagrams doubled", func(fl *fleet) []*fakeNode { fl.change(func() { fl.double = true }); return nil }},
		{"one node hears nothing", func(fl *fleet) []*fakeNode {
			fl.change(func() { fl.cut = func(_, to *fakeNode) bool { return to == last(fl) } })
			return []*fakeNode{last(fl)}
		}},
		{"one node is not heard", func(fl *fleet) []*fakeNode {
			fl.change(func() { fl.cut = func(from, _ *fakeNode) bool { return from == last(fl) } })
			return []*fakeNode{last(fl)}
		}},
		{"four nodes cut off", func(fl *fleet) []*fakeNode {
			off := func(x *fakeNode) bool { return x.index >= 6 && x.index < 10 }
			fl.change(func() { fl.cut = func(from, to *fakeNode) bool { return off(from) != off(to) } })
			return fl.nodes[6:10:10]
		}},
		{"one node frozen", func(fl *fleet) []*fakeNode {
			go last(fl).freeze(faultLength)
			synctest.Wait()
			return []*fakeNode{last(fl)}
		}},
		{"another node crashed", func(fl *fleet) []*fakeNode {
			last(fl).kill()
			return []*fakeNode{last(fl)}
		}},
		{"a seed crashed", func(fl *fleet) []*fakeNode {
			fl.nodes[1].kill()
			return []*fakeNode{fl.nodes[1]}
		}},
	}
}

// step is one column of the matrix. It returns how long it may take at the
// nodes that the fault spares, and what all nodes have reached then and, once
// the fault is over, within a minute.
type step struct {
	name  string
	bound time.Duration
	run   func(fl *fleet) func(*fakeNode) bool
}

func steps() []step {
	subject := func(fl *fleet) *fakeNode { return fl.nodes[4] }
	sees := func(of *fakeNode, states ...registrar.State) func(*fakeNode) bool {
		return func(x *fakeNode) bool {
			for _, s := range states {
				if x == of || x.state(of) == s {
					return true
				}
			}
			return false
		}
	}
	return []step{
		{"announce", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			return sees(fl.add(registrar.StateReady), registrar.StateReady)
		}},
		{"spread", 5 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).Announce(registrar.StateLeaving)
			return sees(subject(fl), registrar.StateLeaving)
		}},
		{"suspect", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			return sees(subject(fl), registrar.StateSuspect, registrar.StateFailed)
		}},
		{"remove", 30 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			return sees(subject(fl), registrar.StateFailed)
		}},
		{"rejoin", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			time.Sleep(5 * time.Second)
			subject(fl).start(registrar.StateReady)
			return sees(subject(fl), registrar.StateReady)
		}},
		{"distribute", 11 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			fl.accept(2)
			return func(x *fakeNode) bool { return x.distributor.InForce().GetNumber() == 2 }
		}},
		{"apply after restart", 11 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			fl.accept(2)
			subject(fl).kill()
			subject(fl).start(registrar.StateReady)
			return func(x *fakeNode) bool {
				published := x.versions()
				return len(published) > 0 && published[len(published)-1] == 2
			}
		}},
	}
}

func TestFaultMatrix(t *testing.T) {
	var table strings.Builder
	fmt.Fprint(&table, "| fault | step | at the nodes spared | at all, after the fault |\n|---|---|---|---|\n")
	for i, f := range faults() {
		for j, s := range steps() {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, uint64(100*i+j))
				fl.current = version(1)
				for range 10 {
					fl.add(registrar.StateReady)
				}
				fl.await("start", 60*time.Second, fl.nodes, func(x *fakeNode) bool {
					return x.View().Len() == 10 && x.distributor.InForce().GetNumber() == 1
				})
				fmt.Fprintf(&table, "| %s | %s | %s |\n", f.name, s.name, runCell(fl, f, s))
				fl.assertBudget()
			})
		}
	}
	golden.Assert(t, table.String(), "faults.golden")
}

// runCell runs one step under one fault and tells what came of it.
func runCell(fl *fleet, f fault, s step) string {
	begun := time.Now()
	hit := f.begin(fl)
	reached := s.run(fl)
	spared := living(fl.without(hit...))
	during := fmt.Sprintf("within %v", s.bound)
	if done := fl.reach(s.bound, spared, reached); done < len(spared) {
		during = fmt.Sprintf("%d of %d within %v", done, len(spared), s.bound)
	}
	time.Sleep(faultLength + time.Second - time.Since(begun))
	for _, x := range spared {
		for _, o := range spared {
			fl.change(func() {
				if x.failures[o.index] > 0 {
					during += fmt.Sprintf(", node-%d failed at node-%d", o.index, x.index)
				}
			})
		}
	}
	fl.change(func() { fl.loss, fl.double, fl.maxDelay = 0, false, 2*time.Millisecond })
	fl.change(func() { fl.cut = func(_, _ *fakeNode) bool { return false } })
	all := living(fl.nodes)
	after := "within 1m"
	if done := fl.reach(time.Minute, all, reached); done < len(all) {
		after = fmt.Sprintf("%d of %d within 1m", done, len(all))
	}
	for _, x := range fl.nodes {
		if published := x.versions(); !slices.IsSorted(published) {
			after += fmt.Sprintf(", node-%d went back: %v", x.index, published)
		}
	}
	return during + " | " + after
}

func living(nodes []*fakeNode) []*fakeNode {
	var alive []*fakeNode
	for _, x := range nodes {
		if x.lives(^uint64(0)) {
			alive = append(alive, x)
		}
	}
	return alive
}

// versions returns the versions that the node published, over all its lives.
func (x *fakeNode) versions() []uint64 {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return slices.Clone(x.published)
}

func version(number uint64) *controlwire.Version {
	return &controlwire.Version{Digest: &controlwire.VersionDigest{Number: number, Digest: make([]byte, 32)}, Document: &controlwire.Document{}}
}

// accept makes a version the newest accepted one; node-0 learns it by agreement.
func (fl *fleet) accept(number uint64) {
	fl.mu.Lock()
	fl.current = version(number)
	fl.mu.Unlock()
	assert.Check(fl.t, fl.nodes[0].distributor.Offer(version(number)))
}

// newDistributor returns the distributor of a node, if the fleet distributes.
func (fl *fleet) newDistributor(x *fakeNode) *distributor.Distributor {
	if fl.current == nil {
		return nil
	}
	return distributor.New(distributor.Config{
		ControlAddresses: func() []netip.AddrPort { return []netip.AddrPort{peerOf(0)} },
		Client:           x,
		Compile: func(_ *controlwire.Document, number uint64) (*compiler.Configuration, error) {
			return compiler.NewConfiguration(number, "oaxaca", nil), nil
		},
		Digest: func(*controlwire.Document) []byte { return make([]byte, 32) },
		Diff:   func(_, _ *controlwire.Document) []*controlwire.EntryChange { return nil },
		Apply: func(doc *controlwire.Document, _ []*controlwire.EntryChange) (*controlwire.Document, error) {
			return doc, nil
		},
		Publish: func(c *compiler.Configuration) bool {
			fl.change(func() { x.published = append(x.published, c.Number()) })
			return true
		},
		Announce: func(v *controlwire.VersionDigest) { x.SetVersion(v) },
		Logger:   zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(uint64(x.index), 3)),
	})
}

// Fetch implements distributor.Client.
func (x *fakeNode) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	other, err := x.call(ctx, to, 0)
	if err != nil {
		return nil, err
	}
	resp, err := other.distributor.Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	x.awaitGate()
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Current implements distributor.Client.
func (x *fakeNode) Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error) {
	if _, err := x.call(ctx, to, 0); err != nil {
		return nil, err
	}
	x.awaitGate()
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return x.fleet.current, nil
}
