package deduplicator

import (
	"hash/fnv"
	"io"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// Home returns the home instance of a key, or nil if no instance is routable.
// It selects by rendezvous hashing among the routable instances that have been up
// for the retention of keys. If there are none, as after the first start of a
// service, it selects among all routable instances.
func Home(instances []*registrar.Instance, key string, retention time.Duration, now time.Time) *registrar.Instance {
	routable := make([]*registrar.Instance, 0, len(instances))
	for _, in := range instances {
		if in.State().Routable() {
			routable = append(routable, in)
		}
	}
	return highestScored(routable, key, now.Add(-retention))
}

// highestScored returns the instance with the highest rendezvous score for a key
// among those that started by the given time, or among all if there are none.
func highestScored(instances []*registrar.Instance, key string, startedBy time.Time) *registrar.Instance {
	var eligible, fallback *registrar.Instance
	var eligibleScore, fallbackScore uint64
	for _, in := range instances {
		score := rendezvousScore(in.ID(), key)
		if fallback == nil || score > fallbackScore {
			fallback, fallbackScore = in, score
		}
		if startTime(in).After(startedBy) {
			continue
		}
		if eligible == nil || score > eligibleScore {
			eligible, eligibleScore = in, score
		}
	}
	if eligible != nil {
		return eligible
	}
	return fallback
}

// startTime returns when an instance started. Its incarnation is that time in
// milliseconds since the Unix epoch, or slightly later.
func startTime(in *registrar.Instance) time.Time {
	return time.UnixMilli(int64(in.Incarnation()))
}

// rendezvousScore returns the score of an instance for a key in rendezvous hashing.
func rendezvousScore(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id) // Writing to a hash never fails.
	_, _ = io.WriteString(h, "\x00")
	_, _ = io.WriteString(h, key)
	x := h.Sum64()
	// Apply the finalizer of MurmurHash3, since in FNV alone the last bytes hardly
	// affect the high bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
