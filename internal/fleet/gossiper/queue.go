package gossiper

import (
	"math"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	// transmissionFactor scales the number of transmissions of an update, which grows with
	// the logarithm of the fleet size.
	transmissionFactor = 4
	// longQueueLength is the number of queued updates above which each is transmitted
	// only longQueueTransmissions times; table exchanges deliver it to the other members.
	longQueueLength        = 64
	longQueueTransmissions = 2
	// fieldOverhead is the largest size of the tag and length that precede an update.
	fieldOverhead = 4
)

// queuedUpdate is an update that is still to be transmitted.
type queuedUpdate struct {
	update        *gossipwire.Update
	size          int
	transmissions int
	serial        uint64 // Increases with each queued update.
}

// queue holds the updates to transmit, at most one per instance.
type queue struct {
	updates    map[string]*queuedUpdate
	lastSerial uint64
}

func newQueue() *queue { return &queue{updates: make(map[string]*queuedUpdate)} }

// push adds an update, replacing an older one about the same instance.
func (q *queue) push(u *gossipwire.Update) {
	q.lastSerial++
	q.updates[u.GetId()] = &queuedUpdate{update: u, size: proto.Size(u) + fieldOverhead, serial: q.lastSerial}
}

func (q *queue) len() int { return len(q.updates) }

// retainOnly removes all updates except the one about id.
func (q *queue) retainOnly(id string) {
	for other := range q.updates {
		if other != id {
			delete(q.updates, other)
		}
	}
}

// take returns updates of up to maxBytes and counts them as transmitted. Those with
// the fewest transmissions come first, and among these the newest. An update is removed
// after transmissionLimit transmissions, or after fewer if the queue is long.
func (q *queue) take(maxBytes, liveCount int) []*gossipwire.Update {
	if len(q.updates) == 0 {
		return nil
	}
	list := make([]*queuedUpdate, 0, len(q.updates))
	for _, u := range q.updates {
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].transmissions != list[j].transmissions {
			return list[i].transmissions < list[j].transmissions
		}
		return list[i].serial > list[j].serial
	})
	var updates []*gossipwire.Update
	limit := transmissionLimit(liveCount)
	if len(list) > longQueueLength {
		limit = longQueueTransmissions
	}
	for _, u := range list {
		if u.size > maxBytes {
			continue
		}
		maxBytes -= u.size
		updates = append(updates, u.update)
		if u.transmissions++; u.transmissions >= limit {
			delete(q.updates, u.update.GetId())
		}
	}
	return updates
}

// transmissionLimit returns how often an update is transmitted among liveCount members.
func transmissionLimit(liveCount int) int {
	return transmissionFactor * int(math.Ceil(math.Log10(float64(liveCount+2))))
}
