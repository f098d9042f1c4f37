package gossiper

import (
	"math"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

const (
	// repeatFactor scales how often an update is sent on with the logarithm of the fleet.
	repeatFactor = 4
	// longQueue is the number of waiting updates from which on each is sent
	// longQueueRepeats times only, and comparisons of tables bring the rest.
	longQueue        = 64
	longQueueRepeats = 2
	// fieldOverhead bounds the bytes of the tag and length before an update.
	fieldOverhead = 4
)

// rumor is an update that waits to be sent on.
type rumor struct {
	update *gossipwire.Update
	size   int
	sent   int
	number uint64 // Grows with each rumor; larger is newer.
}

// queue holds the updates that are being sent on, at most one for each instance.
type queue struct {
	rumors map[string]*rumor
	number uint64
}

func newQueue() *queue { return &queue{rumors: make(map[string]*rumor)} }

// push adds an update in place of an older one about the same instance.
func (q *queue) push(u *gossipwire.Update) {
	q.number++
	q.rumors[u.GetId()] = &rumor{update: u, size: proto.Size(u) + fieldOverhead, number: q.number}
}

func (q *queue) len() int { return len(q.rumors) }

// retain drops all updates but the one about id.
func (q *queue) retain(id string) {
	for other := range q.rumors {
		if other != id {
			delete(q.rumors, other)
		}
	}
}

// take returns updates of up to size bytes, those that were sent least and
// among them the newest first, and counts them as sent. An update that was
// sent repeatLimit(n) times is dropped, or earlier if many wait.
func (q *queue) take(size, n int) []*gossipwire.Update {
	if len(q.rumors) == 0 {
		return nil
	}
	list := make([]*rumor, 0, len(q.rumors))
	for _, r := range q.rumors {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].number > list[j].number
	})
	var updates []*gossipwire.Update
	limit := repeatLimit(n)
	if len(list) > longQueue {
		limit = longQueueRepeats
	}
	for _, r := range list {
		if r.size > size {
			continue
		}
		size -= r.size
		updates = append(updates, r.update)
		if r.sent++; r.sent >= limit {
			delete(q.rumors, r.update.GetId())
		}
	}
	return updates
}

// repeatLimit returns how often an update is sent on in a fleet of n.
func repeatLimit(n int) int {
	return repeatFactor * int(math.Ceil(math.Log10(float64(n+2))))
}
