package gossiper

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const (
	// bucketCount is the number of parts of the table that are compared separately.
	bucketCount = 256
	// leftRetention is how long views show an instance that left.
	leftRetention = 5 * time.Minute
	// failedRetention is how long views show a failed member and this node pings it.
	failedRetention = time.Hour
	// tombstoneRetention is how long the last revision of a removed member is kept, so
	// that a stale update does not restore it.
	tombstoneRetention = 24 * time.Hour
)

// tombstone records the last revision of a removed member.
type tombstone struct {
	revision revision
	created  time.Time
}

// table holds all members and the digests of its buckets.
type table struct {
	members       map[string]*member
	buckets       [bucketCount][]*member // Members by the hash of their id.
	suspects      map[string]*member
	tombstones    map[string]tombstone
	digests       [bucketCount]uint32
	digest        uint64
	liveCount     int
	probeOrder    []string // Ids of members in the order of probes.
	probePosition int
	random        *rand.Rand
}

func newTable(random *rand.Rand) *table {
	return &table{
		members:    make(map[string]*member),
		suspects:   make(map[string]*member),
		tombstones: make(map[string]tombstone),
		random:     random,
	}
}

// bucketOf returns the index of the bucket of an instance.
func bucketOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % bucketCount)
}

// put adds a member or replaces the one with the same id.
func (t *table) put(m *member) {
	if old := t.members[m.spec.ID]; old != nil {
		t.updateTotals(old, -1)
		delete(t.suspects, m.spec.ID)
	} else {
		t.insertIntoProbeOrder(m.spec.ID)
	}
	t.members[m.spec.ID] = m
	t.removeFromBucket(m.spec.ID)
	bucket := bucketOf(m.spec.ID)
	t.buckets[bucket] = append(t.buckets[bucket], m)
	delete(t.tombstones, m.spec.ID)
	t.updateTotals(m, 1)
}

func (t *table) removeFromBucket(id string) {
	bucket := &t.buckets[bucketOf(id)]
	*bucket = slices.DeleteFunc(*bucket, func(m *member) bool { return m.spec.ID == id })
}

// change applies f to a member and updates the digests, the live count and the suspects.
func (t *table) change(m *member, f func()) {
	t.updateTotals(m, -1)
	f()
	t.updateTotals(m, 1)
	if m.status == statusSuspect {
		t.suspects[m.spec.ID] = m
	} else {
		delete(t.suspects, m.spec.ID)
	}
}

// updateTotals adds a member to the digests and the live count, or with sign -1 removes
// it. XOR does both for the digests.
func (t *table) updateTotals(m *member, sign int) {
	d := m.digest()
	t.digests[bucketOf(m.spec.ID)] ^= uint32(d>>32) ^ uint32(d)
	t.digest ^= d
	if m.live() {
		t.liveCount += sign
	}
}

// insertIntoProbeOrder inserts a new member at a random position of the probe order, so
// that not all nodes probe it at the same time.
func (t *table) insertIntoProbeOrder(id string) {
	t.probeOrder = append(t.probeOrder, id)
	i := t.random.IntN(len(t.probeOrder))
	last := len(t.probeOrder) - 1
	t.probeOrder[i], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[i]
}

// nextToProbe returns the next live member in the probe order other than self, or nil.
func (t *table) nextToProbe(self string) *member {
	for range len(t.probeOrder) {
		if t.probePosition >= len(t.probeOrder) {
			t.shuffleProbeOrder()
		}
		m := t.members[t.probeOrder[t.probePosition]]
		t.probePosition++
		if m != nil && m.live() && m.spec.ID != self {
			return m
		}
	}
	return nil
}

// shuffleProbeOrder starts the next round of probes in a new random order, without
// removed members.
func (t *table) shuffleProbeOrder() {
	kept := t.probeOrder[:0]
	for _, id := range t.probeOrder {
		if t.members[id] != nil {
			kept = append(kept, id)
		}
	}
	t.probeOrder = kept
	t.probePosition = 0
	t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

// sample returns up to k distinct random live members for which accept returns true.
func (t *table) sample(k int, accept func(*member) bool) []*member {
	var chosen []*member
	n := len(t.probeOrder)
	if n == 0 {
		return nil
	}
	start := t.random.IntN(n)
	step := t.randomCoprime(n)
	for i := 0; i < n && len(chosen) < k; i++ {
		m := t.members[t.probeOrder[(start+i*step)%n]]
		if m != nil && m.live() && accept(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// randomCoprime returns a random step that is coprime to n, so that multiples of it
// visit all n positions.
func (t *table) randomCoprime(n int) int {
	for {
		step := 1 + t.random.IntN(n)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// randomFailed returns a random failed member, or nil.
func (t *table) randomFailed() *member {
	var chosen *member
	seen := 0
	for _, id := range t.probeOrder {
		m := t.members[id]
		if m == nil || m.status != statusFailed || m.spec.State == registrar.StateLeft {
			continue
		}
		seen++
		if t.random.IntN(seen) == 0 {
			chosen = m
		}
	}
	return chosen
}

// removeExpired removes members that left or failed longer ago than their retention,
// and old tombstones. It reports whether a member was removed.
func (t *table) removeExpired(now time.Time) bool {
	removed := false
	for id, m := range t.members {
		retention := failedRetention
		if m.spec.State == registrar.StateLeft {
			retention = leftRetention
		}
		if m.live() || now.Sub(m.changed) < retention {
			continue
		}
		delete(t.members, id)
		delete(t.suspects, id)
		t.removeFromBucket(id)
		t.tombstones[id] = tombstone{revision: m.revision(), created: now}
		removed = true
	}
	for id, old := range t.tombstones {
		if now.Sub(old.created) >= tombstoneRetention {
			delete(t.tombstones, id)
		}
	}
	return removed
}

// view returns an immutable snapshot of the table.
func (t *table) view() *registrar.View {
	instances := make([]*registrar.Instance, 0, len(t.members))
	for _, m := range t.members {
		instances = append(instances, m.instance())
	}
	return registrar.NewView(instances)
}
