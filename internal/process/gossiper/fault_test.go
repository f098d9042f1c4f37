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

// faultDuration is the shortest duration of a fault.
const faultDuration = 30 * time.Second

// fault is one kind of fault in the matrix. Its inject function returns the affected
// nodes, of which nothing is expected until the fault ends.
type fault struct {
	name   string
	inject func(fl *fleet) []*fakeNode
}

func faults() []fault {
	last := func(fl *fleet) *fakeNode { return fl.nodes[9] }
	return []fault{
		{"none", func(*fleet) []*fakeNode { return nil }},
		{"20 % of datagrams lost", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.loss = 0.2 }); return nil }},
		{"delays of up to 300 ms, out of order", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.maxDelay = 300 * time.Millisecond }); return nil }},
		{"datagrams duplicated", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.duplicate = true }); return nil }},
		{"one node receives nothing", func(fl *fleet) []*fakeNode {
			fl.withLock(func() { fl.blocked = func(_, to *fakeNode) bool { return to == last(fl) } })
			return []*fakeNode{last(fl)}
		}},
		{"messages from one node lost", func(fl *fleet) []*fakeNode {
			fl.withLock(func() { fl.blocked = func(from, _ *fakeNode) bool { return from == last(fl) } })
			return []*fakeNode{last(fl)}
		}},
		{"four nodes partitioned", func(fl *fleet) []*fakeNode {
			isolated := func(x *fakeNode) bool { return x.index >= 6 && x.index < 10 }
			fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return isolated(from) != isolated(to) } })
			return fl.nodes[6:10:10]
		}},
		{"one node frozen", func(fl *fleet) []*fakeNode {
			go last(fl).freeze(faultDuration)
			synctest.Wait()
			return []*fakeNode{last(fl)}
		}},
		{"a node other than a seed crashed", func(fl *fleet) []*fakeNode {
			last(fl).kill()
			return []*fakeNode{last(fl)}
		}},
		{"a seed crashed", func(fl *fleet) []*fakeNode {
			fl.nodes[1].kill()
			return []*fakeNode{fl.nodes[1]}
		}},
	}
}

// step is one operation in the matrix. Its run function returns the condition that the
// unaffected nodes must fulfil within the bound, and all nodes within a minute after the
// fault ends.
type step struct {
	name  string
	bound time.Duration
	run   func(fl *fleet) func(*fakeNode) bool
}

func steps() []step {
	subject := func(fl *fleet) *fakeNode { return fl.nodes[4] }
	showsState := func(other *fakeNode, states ...registrar.State) func(*fakeNode) bool {
		return func(x *fakeNode) bool {
			for _, s := range states {
				if x == other || x.state(other) == s {
					return true
				}
			}
			return false
		}
	}
	return []step{
		{"announce", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			return showsState(fl.add(registrar.StateReady), registrar.StateReady)
		}},
		{"spread", 5 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).Announce(registrar.StateLeaving)
			return showsState(subject(fl), registrar.StateLeaving)
		}},
		{"suspect", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			return showsState(subject(fl), registrar.StateSuspect, registrar.StateFailed)
		}},
		{"remove", 30 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			return showsState(subject(fl), registrar.StateFailed)
		}},
		{"rejoin", 10 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			subject(fl).kill()
			time.Sleep(5 * time.Second)
			subject(fl).start(registrar.StateReady)
			return showsState(subject(fl), registrar.StateReady)
		}},
		{"distribute", 11 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			fl.acceptVersion(2)
			return func(x *fakeNode) bool { return x.distributor.InForce().GetNumber() == 2 }
		}},
		{"apply after restart", 11 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			fl.acceptVersion(2)
			subject(fl).kill()
			subject(fl).start(registrar.StateReady)
			return func(x *fakeNode) bool {
				published := x.publishedVersions()
				return len(published) > 0 && published[len(published)-1] == 2
			}
		}},
	}
}

// TestFaultMatrix runs each step under each fault and compares the results with the
// golden file.
func TestFaultMatrix(t *testing.T) {
	var table strings.Builder
	fmt.Fprint(&table, "| fault | step | unaffected nodes | all nodes, after the fault |\n|---|---|---|---|\n")
	for i, f := range faults() {
		for j, s := range steps() {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, uint64(100*i+j))
				fl.current = newVersion(1)
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

// runCell runs one step under one fault and returns the two result columns.
func runCell(fl *fleet, f fault, s step) string {
	started := time.Now()
	affected := f.inject(fl)
	reached := s.run(fl)
	unaffected := running(fl.allExcept(affected...))
	during := fmt.Sprintf("within %v", s.bound)
	if done := fl.waitCount(s.bound, unaffected, reached); done < len(unaffected) {
		during = fmt.Sprintf("%d of %d within %v", done, len(unaffected), s.bound)
	}
	time.Sleep(faultDuration + time.Second - time.Since(started))
	for _, x := range unaffected {
		for _, o := range unaffected {
			fl.withLock(func() {
				if x.falseFailures[o.index] > 0 {
					during += fmt.Sprintf(", node-%d shown as failed at node-%d", o.index, x.index)
				}
			})
		}
	}
	fl.withLock(func() { fl.loss, fl.duplicate, fl.maxDelay = 0, false, 2*time.Millisecond })
	fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
	all := running(fl.nodes)
	after := "within 1m"
	if done := fl.waitCount(time.Minute, all, reached); done < len(all) {
		after = fmt.Sprintf("%d of %d within 1m", done, len(all))
	}
	for _, x := range fl.nodes {
		if published := x.publishedVersions(); !slices.IsSorted(published) {
			after += fmt.Sprintf(", node-%d reverted to an older version: %v", x.index, published)
		}
	}
	return during + " | " + after
}

// running returns the nodes that are running.
func running(nodes []*fakeNode) []*fakeNode {
	var alive []*fakeNode
	for _, x := range nodes {
		if x.runs(^uint64(0)) {
			alive = append(alive, x)
		}
	}
	return alive
}

// publishedVersions returns the versions that the node published, including those
// before restarts.
func (x *fakeNode) publishedVersions() []uint64 {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return slices.Clone(x.published)
}

func newVersion(number uint64) *controlwire.Version {
	return &controlwire.Version{Digest: &controlwire.VersionDigest{Number: number, Digest: make([]byte, 32)}, Document: &controlwire.Document{}}
}

// acceptVersion makes a version the latest accepted one and passes it to node-0, which
// acts as the voter that received it by agreement.
func (fl *fleet) acceptVersion(number uint64) {
	fl.mu.Lock()
	fl.current = newVersion(number)
	fl.mu.Unlock()
	assert.Check(fl.t, fl.nodes[0].distributor.Offer(newVersion(number)))
}

// newDistributor returns the distributor of a node, or nil without distribution.
func (fl *fleet) newDistributor(x *fakeNode) *distributor.Distributor {
	if fl.current == nil {
		return nil
	}
	return distributor.New(distributor.Config{
		ControlAddresses: func() []netip.AddrPort { return []netip.AddrPort{peerAddress(0)} },
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
			fl.withLock(func() { x.published = append(x.published, c.Number()) })
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
	x.awaitUnfrozen()
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
	x.awaitUnfrozen()
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return x.fleet.current, nil
}
