package gossiper

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// evacuationBound is how long an evacuation may take to be in force at all nodes.
const evacuationBound = 5 * time.Second

func newEvacuation(revision uint64, domains ...string) *controlwire.Evacuation {
	return &controlwire.Evacuation{Revision: revision, FailureDomains: domains}
}

func (node *fakeNode) evacuationRevision() uint64 {
	g := node.currentGossiper()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuation.GetRevision()
}

func (node *fakeNode) evacuatedDomains() []string {
	g := node.currentGossiper()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuation.GetFailureDomains()
}

// awaitEvacuation checks that the nodes learn of a revision in time.
func (fl *fleet) awaitEvacuation(nodes []*fakeNode, revision uint64) {
	fl.t.Helper()
	fl.await("evacuation", evacuationBound, nodes, func(node *fakeNode) bool { return node.evacuationRevision() == revision })
}

func TestEvacuationSpreadsAndNeverReverts(t *testing.T) {
	for _, n := range []int{20, 100} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			runFleet(t, n, 51, func(fl *fleet) {
				fl.withLock(func() { fl.loss = 0.2 })
				for revision := uint64(1); revision <= 5; revision++ {
					fl.nodes[revision].SetEvacuation(newEvacuation(revision, fmt.Sprintf("d-%d", revision)))
					fl.awaitEvacuation(fl.nodes, revision)
					fl.nodes[3].SetEvacuation(newEvacuation(revision - 1))
					fl.nodes[4].SetEvacuation(newEvacuation(revision, "other"))
					time.Sleep(time.Second)
					for _, node := range fl.nodes {
						assert.Assert(t, slices.Equal(node.evacuatedDomains(), []string{fmt.Sprintf("d-%d", revision)}))
					}
				}
				fl.assertBudget()
			})
		})
	}
}

func TestRestartedNodeLearnsEvacuationWhileJoining(t *testing.T) {
	runFleet(t, 20, 52, func(fl *fleet) {
		fl.nodes[0].SetEvacuation(newEvacuation(1, "oax-centro"))
		fl.awaitEvacuation(fl.nodes, 1)
		fl.nodes[7].kill()
		time.Sleep(time.Second)
		fl.nodes[7].start(registrar.StateStarting)
		start := time.Now()
		fl.awaitEvacuation(fl.nodes[7:8], 1)
		assert.Assert(t, time.Since(start) <= time.Second, "%v", time.Since(start))
	})
}

func TestNodeThatWasCutOffLearnsEvacuation(t *testing.T) {
	runFleet(t, 20, 53, func(fl *fleet) {
		cut := fl.nodes[9]
		fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return from == cut || to == cut } })
		fl.nodes[0].SetEvacuation(newEvacuation(1, "oax-centro"))
		fl.awaitEvacuation(fl.allExcept(cut), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, cut.evacuationRevision(), uint64(0))
		fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
		fl.awaitEvacuation([]*fakeNode{cut}, 1)
	})
}

func TestInvalidEvacuationsAreIgnored(t *testing.T) {
	var many []string
	for i := range 200 {
		many = append(many, fmt.Sprint(i))
	}
	for name, evacuation := range map[string]*controlwire.Evacuation{
		"no revision": newEvacuation(0, "a"),
		"empty name":  newEvacuation(2, ""),
		"long name":   newEvacuation(2, strings.Repeat("x", 129)),
		"too many":    newEvacuation(2, many...),
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, 54, func(fl *fleet) {
				fl.nodes[0].SetEvacuation(newEvacuation(1, "a"))
				fl.awaitEvacuation(fl.nodes, 1)
				fl.nodes[1].SetEvacuation(evacuation)
				fl.nodes[1].ObserveEvacuation(evacuation)
				time.Sleep(time.Second)
				assert.Equal(t, fl.nodes[1].evacuationRevision(), uint64(1))
			})
		})
	}
}

// TestNoEvacuationAddsNothing checks that messages have the same size as before until the
// first order.
func TestNoEvacuationAddsNothing(t *testing.T) {
	runFleet(t, 3, 55, func(fl *fleet) {
		g := fl.nodes[0].currentGossiper()
		msg := &gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PUSH}
		size := proto.Size(msg)
		msg.Evacuation = g.evacuation
		assert.Equal(t, proto.Size(msg), size)
		assert.Assert(t, g.evacuation == nil)
	})
}
