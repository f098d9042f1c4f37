package gossiper

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// foreignRecord returns a record of an instance that does not exist.
func foreignRecord(id string) *gossipwire.Update {
	address := netip.MustParseAddrPort("10.9.9.9:7000")
	return encodeRecord(&member{spec: registrar.Spec{
		ID: id, Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1, State: registrar.StateReady, Service: "vitrina",
		FailureDomain: "oax-centro", HTTP: address, Peer: address, Slots: 6, Connections: 240,
	}})
}

// deliverUpdates passes updates to a node in one datagram of another writer.
func deliverUpdates(t testing.TB, node *fakeNode, updates ...*gossipwire.Update) {
	t.Helper()
	payload, err := proto.Marshal(&gossipwire.Datagram{Kind: gossipwire.Datagram_KIND_PUSH, Sender: "other", Updates: updates})
	assert.NilError(t, err)
	node.receive(node.peer, payload)
}

func addressBytes(s string) []byte { return encodeAddress(netip.MustParseAddrPort(s)) }

// TestOddEntryNamesNoInstanceAndTheOthersHold guards against an impossible entry of the list that is
// passed on, or keeps the entries beside it from being followed.
func TestOddEntryNamesNoInstanceAndTheOthersHold(t *testing.T) {
	for name, change := range map[string]func(*gossipwire.Update){
		"incarnation beyond 2^53":    func(u *gossipwire.Update) { u.Incarnation = math.MaxUint64 },
		"sequence beyond 2^53":       func(u *gossipwire.Update) { u.Sequence = math.MaxUint64 },
		"id with a line break":       func(u *gossipwire.Update) { u.Id = "odd\r\n" },
		"enormous id":                func(u *gossipwire.Update) { u.Id = strings.Repeat("i", 129) },
		"unknown state":              func(u *gossipwire.Update) { u.State = 99 },
		"negative state":             func(u *gossipwire.Update) { u.State = -1 },
		"port 0 of requests":         func(u *gossipwire.Update) { u.Profile.Http = addressBytes("10.9.9.9:0") },
		"port 0 of peers":            func(u *gossipwire.Update) { u.Profile.Peer = addressBytes("10.9.9.9:0") },
		"no address of requests":     func(u *gossipwire.Update) { u.Profile.Http = nil },
		"unspecified address":        func(u *gossipwire.Update) { u.Profile.Http = addressBytes("0.0.0.0:7000") },
		"multicast address":          func(u *gossipwire.Update) { u.Profile.Peer = addressBytes("224.0.0.1:7000") },
		"truncated address":          func(u *gossipwire.Update) { u.Profile.Http = []byte{1, 2} },
		"four billion slots":         func(u *gossipwire.Update) { u.Profile.Slots = math.MaxUint32 },
		"four billion connections":   func(u *gossipwire.Update) { u.Profile.Connections = math.MaxUint32 },
		"service with a line break":  func(u *gossipwire.Update) { u.Profile.Service = "vitrina\n" },
		"enormous name of a service": func(u *gossipwire.Update) { u.Profile.Service = strings.Repeat("s", 129) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 4, 71, func(fl *fleet) {
				odd, sound := foreignRecord("odd"), foreignRecord("sound")
				change(odd)
				deliverUpdates(fl.t, fl.nodes[0], odd, sound)
				time.Sleep(spreadBound)
				for _, node := range fl.nodes {
					assert.Assert(fl.t, node.View().Instance(odd.GetId()) == nil, "node-%d", node.index)
					assert.Assert(fl.t, node.View().Instance("sound") != nil, "node-%d", node.index)
				}
			})
		})
	}
}

// TestInstanceIsFollowedAfterAnOddEntryOfItself guards against an instance whose own announcements look stale for good.
func TestInstanceIsFollowedAfterAnOddEntryOfItself(t *testing.T) {
	for name, change := range map[string]func(*gossipwire.Update){
		"greatest incarnation":            func(u *gossipwire.Update) { u.Incarnation = math.MaxUint64 },
		"great incarnation":               func(u *gossipwire.Update) { u.Incarnation = 1 << 52 },
		"greatest sequence":               func(u *gossipwire.Update) { u.Sequence = math.MaxUint64 },
		"greatest plausible sequence":     func(u *gossipwire.Update) { u.Sequence = registrar.MaxRevisionNumber },
		"failed at the greatest sequence": func(u *gossipwire.Update) { u.Sequence, u.State = math.MaxUint64, gossipwire.State_STATE_FAILED },
		"failed at a plausible sequence": func(u *gossipwire.Update) {
			u.Sequence, u.State = registrar.MaxRevisionNumber, gossipwire.State_STATE_FAILED
		},
		"suspect at the greatest sequence": func(u *gossipwire.Update) { u.Sequence, u.State = math.MaxUint64, gossipwire.State_STATE_SUSPECT },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 4, 72, func(fl *fleet) {
				subject := fl.nodes[2]
				for _, node := range fl.nodes {
					odd := encodeRecord(subject.self)
					change(odd)
					deliverUpdates(fl.t, node, odd)
				}
				time.Sleep(spreadBound)
				fl.awaitState(fl.nodes, subject, spreadBound, registrar.StateReady)
				subject.Announce(registrar.StateLeaving)
				fl.awaitState(fl.nodes, subject, spreadBound, registrar.StateLeaving)
			})
		})
	}
}

// TestRevisionOfEvacuationBeyondAllIsIgnored guards against an order that no later one replaces.
func TestRevisionOfEvacuationBeyondAllIsIgnored(t *testing.T) {
	runFleet(t, 3, 73, func(fl *fleet) {
		fl.nodes[1].ObserveEvacuation(newEvacuation(math.MaxUint64, "oax-centro"))
		time.Sleep(time.Second)
		fl.nodes[0].SetEvacuation(newEvacuation(1, "oax-istmo"))
		fl.awaitEvacuation(fl.nodes, 1)
	})
}
