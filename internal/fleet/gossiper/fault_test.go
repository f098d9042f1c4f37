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

	"github.com/banyanscale/banyanscale/internal/fleet/distributor"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// faultDuration is the shortest duration of a fault.
const faultDuration = 30 * time.Second

// fault is one kind of fault in the matrix. Its inject function returns the affected
// nodes, which are not checked until the fault ends.
type fault struct {
	name   string
	inject func(fl *fleet) []*fakeNode
}

func faults() []fault {
	affected := func(fl *fleet) *fakeNode { return fl.nodes[9] }
	return []fault{
		{"none", func(*fleet) []*fakeNode { return nil }},
		{"20 % of datagrams lost", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.loss = 0.2 }); return nil }},
		{"delays of up to 300 ms, out of order", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.maxDelay = 300 * time.Millisecond }); return nil }},
		{"datagrams duplicated", func(fl *fleet) []*fakeNode { fl.withLock(func() { fl.duplicate = true }); return nil }},
		{"one node receives nothing", func(fl *fleet) []*fakeNode {
			fl.withLock(func() { fl.blocked = func(_, to *fakeNode) bool { return to == affected(fl) } })
			return []*fakeNode{affected(fl)}
		}},
		{"messages from one node lost", func(fl *fleet) []*fakeNode {
			fl.withLock(func() { fl.blocked = func(from, _ *fakeNode) bool { return from == affected(fl) } })
			return []*fakeNode{affected(fl)}
		}},
		{"four nodes partitioned", func(fl *fleet) []*fakeNode {
			isolated := func(node *fakeNode) bool { return node.index >= 6 && node.index < 10 }
			fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return isolated(from) != isolated(to) } })
			return fl.nodes[6:10:10]
		}},
		{"one node frozen", func(fl *fleet) []*fakeNode {
			go affected(fl).freeze(faultDuration)
			synctest.Wait()
			return []*fakeNode{affected(fl)}
		}},
		{"a node other than a seed crashed", func(fl *fleet) []*fakeNode {
			affected(fl).kill()
			return []*fakeNode{affected(fl)}
		}},
		{"a seed crashed", func(fl *fleet) []*fakeNode {
			fl.nodes[1].kill()
			return []*fakeNode{fl.nodes[1]}
		}},
	}
}

// step is one operation in the matrix. Its run function returns the condition that the
// unaffected nodes must meet within the bound, and all nodes within a minute after the
// fault ends.
type step struct {
	name  string
	bound time.Duration
	run   func(fl *fleet) func(*fakeNode) bool
}

func steps() []step {
	subject := func(fl *fleet) *fakeNode { return fl.nodes[4] }
	showsState := func(other *fakeNode, states ...registrar.State) func(*fakeNode) bool {
		return func(node *fakeNode) bool {
			for _, s := range states {
				if node == other || node.state(other) == s {
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
			return func(node *fakeNode) bool { return node.distributor.InForce().GetNumber() == 2 }
		}},
		{"apply after restart", 11 * time.Second, func(fl *fleet) func(*fakeNode) bool {
			fl.acceptVersion(2)
			subject(fl).kill()
			subject(fl).start(registrar.StateReady)
			return func(node *fakeNode) bool {
				published := node.publishedVersions()
				return len(published) > 0 && published[len(published)-1] == 2
			}
		}},
	}
}

// TestMembershipFaultMatrix runs each step under each fault and compares the results with the
// golden file.
func TestMembershipFaultMatrix(t *testing.T) {
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
				fl.await("start", 60*time.Second, fl.nodes, func(node *fakeNode) bool {
					return node.View().Len() == 10 && node.distributor.InForce().GetNumber() == 1
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
	condition := s.run(fl)
	unaffected := running(fl.allExcept(affected...))
	during := fmt.Sprintf("within %v", s.bound)
	if done := fl.waitCount(s.bound, unaffected, condition); done < len(unaffected) {
		during = fmt.Sprintf("%d of %d within %v", done, len(unaffected), s.bound)
	}
	time.Sleep(faultDuration + time.Second - time.Since(started))
	for _, node := range unaffected {
		for _, other := range unaffected {
			fl.withLock(func() {
				if node.falseFailures[other.index] > 0 {
					during += fmt.Sprintf(", node-%d shown as failed at node-%d", other.index, node.index)
				}
			})
		}
	}
	fl.withLock(func() { fl.loss, fl.duplicate, fl.maxDelay = 0, false, 2*time.Millisecond })
	fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
	all := running(fl.nodes)
	after := "within 1m"
	if done := fl.waitCount(time.Minute, all, condition); done < len(all) {
		after = fmt.Sprintf("%d of %d within 1m", done, len(all))
	}
	for _, node := range fl.nodes {
		if published := node.publishedVersions(); !slices.IsSorted(published) {
			after += fmt.Sprintf(", node-%d reverted to an older version: %v", node.index, published)
		}
	}
	return during + " | " + after
}

// running returns the nodes that are running.
func running(nodes []*fakeNode) []*fakeNode {
	var list []*fakeNode
	for _, node := range nodes {
		if node.runsUpTo(^uint64(0)) {
			list = append(list, node)
		}
	}
	return list
}

// publishedVersions returns the versions that the node published, including those
// before restarts.
func (node *fakeNode) publishedVersions() []uint64 {
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	return slices.Clone(node.published)
}

func newVersion(number uint64) *controlwire.Version {
	return &controlwire.Version{Digest: &controlwire.VersionDigest{Number: number, Digest: make([]byte, 32)}, Document: &controlwire.Document{}}
}

// acceptVersion makes a version the latest accepted one and passes it to node-0, which
// acts as a voter that accepted it.
func (fl *fleet) acceptVersion(number uint64) {
	fl.mu.Lock()
	fl.current = newVersion(number)
	fl.mu.Unlock()
	assert.Check(fl.t, fl.nodes[0].distributor.Offer(newVersion(number)))
}

// newDistributor returns the distributor of a node, or nil without distribution.
func (fl *fleet) newDistributor(node *fakeNode) *distributor.Distributor {
	if fl.current == nil {
		return nil
	}
	return distributor.New(distributor.Config{
		ControlAddresses: func() []netip.AddrPort { return []netip.AddrPort{peerAddress(0)} },
		Client:           node,
		Compile: func(_ *controlwire.Document, number uint64) (*compiler.Configuration, error) {
			return compiler.NewConfiguration(number, "oaxaca", nil), nil
		},
		Digest: func(*controlwire.Document) []byte { return make([]byte, 32) },
		Diff:   func(_, _ *controlwire.Document) []*controlwire.EntryChange { return nil },
		Apply: func(doc *controlwire.Document, _ []*controlwire.EntryChange) (*controlwire.Document, error) {
			return doc, nil
		},
		Publish: func(c *compiler.Configuration) bool {
			fl.withLock(func() { node.published = append(node.published, c.Number()) })
			return true
		},
		Announce: func(v *controlwire.VersionDigest) { node.SetVersion(v) },
		Logger:   zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(uint64(node.index), 3)),
	})
}

// Fetch implements distributor.Client.
func (node *fakeNode) Fetch(ctx context.Context, to netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	other, err := node.call(ctx, to, 0)
	if err != nil {
		return nil, err
	}
	resp, err := other.distributor.Fetch(ctx, connect.NewRequest(&controlwire.FetchRequest{Have: have}))
	node.awaitUnfrozen()
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Current implements distributor.Client.
func (node *fakeNode) Current(ctx context.Context, to netip.AddrPort) (*controlwire.Version, error) {
	if _, err := node.call(ctx, to, 0); err != nil {
		return nil, err
	}
	node.awaitUnfrozen()
	node.fleet.mu.Lock()
	defer node.fleet.mu.Unlock()
	return node.fleet.current, nil
}
