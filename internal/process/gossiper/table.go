package gossiper

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

const (
	// bucketCount is the number of parts of the table that are compared one by one.
	bucketCount = 256
	// leftRetention is how long a view shows an instance that ended in order.
	leftRetention = 5 * time.Minute
	// failedRetention is how long a failed member is shown and tried again.
	failedRetention = time.Hour
	// tombstoneRetention is how long the last stamp of a forgotten member is
	// kept, so that a stale update does not bring it back.
	tombstoneRetention = 24 * time.Hour
)

// tombstone is what is left of a forgotten member.
type tombstone struct {
	stamp     stamp
	forgotten time.Time
}

// table holds all members and the digests of its buckets.
type table struct {
	members    map[string]*member
	buckets    [bucketCount][]*member // The same members by the hash of their id.
	suspects   map[string]*member
	tombstones map[string]tombstone
	digests    [bucketCount]uint32
	digest     uint64
	live       int
	order      []string // Order of probing.
	position   int
	random     *rand.Rand
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

// put adds or replaces a member.
func (t *table) put(m *member) {
	if old := t.members[m.spec.ID]; old != nil {
		t.count(old, -1)
		delete(t.suspects, m.spec.ID)
	} else {
		t.insertOrder(m.spec.ID)
	}
	t.members[m.spec.ID] = m
	t.removeFromBucket(m.spec.ID)
	bucket := bucketOf(m.spec.ID)
	t.buckets[bucket] = append(t.buckets[bucket], m)
	delete(t.tombstones, m.spec.ID)
	t.count(m, 1)
}

func (t *table) removeFromBucket(id string) {
	bucket := &t.buckets[bucketOf(id)]
	*bucket = slices.DeleteFunc(*bucket, func(m *member) bool { return m.spec.ID == id })
}

// change applies f to a member and keeps the digests and the suspects right.
func (t *table) change(m *member, f func()) {
	t.count(m, -1)
	f()
	t.count(m, 1)
	if m.status == statusSuspect {
		t.suspects[m.spec.ID] = m
	} else {
		delete(t.suspects, m.spec.ID)
	}
}

func (t *table) count(m *member, sign int) {
	d := m.digest()
	t.digests[bucketOf(m.spec.ID)] ^= uint32(d>>32) ^ uint32(d)
	t.digest ^= d
	if m.live() {
		t.live += sign
	}
}

// insertOrder puts a new member at a random place of the probing order, so
// that all nodes do not probe it at the same time.
func (t *table) insertOrder(id string) {
	t.order = append(t.order, id)
	i := t.random.IntN(len(t.order))
	last := len(t.order) - 1
	t.order[i], t.order[last] = t.order[last], t.order[i]
}

// next returns the next live member to probe other than self, or nil.
func (t *table) next(self string) *member {
	for range len(t.order) {
		if t.position >= len(t.order) {
			t.reshuffle()
		}
		m := t.members[t.order[t.position]]
		t.position++
		if m != nil && m.live() && m.spec.ID != self {
			return m
		}
	}
	return nil
}

func (t *table) reshuffle() {
	kept := t.order[:0]
	for _, id := range t.order {
		if t.members[id] != nil {
			kept = append(kept, id)
		}
	}
	t.order = kept
	t.position = 0
	t.random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// sample returns up to k distinct live members for which accept is true.
func (t *table) sample(k int, accept func(*member) bool) []*member {
	var chosen []*member
	n := len(t.order)
	if n == 0 {
		return nil
	}
	start := t.random.IntN(n)
	step := t.coprime(n)
	for i := 0; i < n && len(chosen) < k; i++ {
		m := t.members[t.order[(start+i*step)%n]]
		if m != nil && m.live() && accept(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// coprime returns a random step that visits all n places.
func (t *table) coprime(n int) int {
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
	for _, id := range t.order {
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

// forget drops members that left or failed long ago, and old tombstones. It
// reports whether a member was dropped.
func (t *table) forget(now time.Time) bool {
	dropped := false
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
		t.tombstones[id] = tombstone{stamp: m.stamp(), forgotten: now}
		dropped = true
	}
	for id, s := range t.tombstones {
		if now.Sub(s.forgotten) >= tombstoneRetention {
			delete(t.tombstones, id)
		}
	}
	return dropped
}

// view returns an immutable picture of the table.
func (t *table) view() *registrar.View {
	instances := make([]*registrar.Instance, 0, len(t.members))
	for _, m := range t.members {
		instances = append(instances, m.instance())
	}
	return registrar.NewView(instances)
}
