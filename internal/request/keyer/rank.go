package keyer

import (
	"hash/fnv"
	"io"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// Home returns the instance that keeps the given key, or nil if none can. It
// is the first in the order of rendezvous hashing among the routable instances
// that have been up for the retention of keys. While there is none of these,
// as after the first start of a service, all routable instances count.
func Home(instances []*registrar.Instance, key string, retention time.Duration, now time.Time) *registrar.Instance {
	routable := make([]*registrar.Instance, 0, len(instances))
	for _, in := range instances {
		if in.State().Routable() {
			routable = append(routable, in)
		}
	}
	return first(routable, key, now.Add(-retention))
}

// first returns the instance of the highest rank among those that started by
// the given time, or among all if there is none of these.
func first(instances []*registrar.Instance, key string, startedBy time.Time) *registrar.Instance {
	var settled, any *registrar.Instance
	var settledRank, anyRank uint64
	for _, in := range instances {
		r := rank(in.ID(), key)
		if any == nil || r > anyRank {
			any, anyRank = in, r
		}
		if started(in).After(startedBy) {
			continue
		}
		if settled == nil || r > settledRank {
			settled, settledRank = in, r
		}
	}
	if settled != nil {
		return settled
	}
	return any
}

// started returns when an instance started: its incarnation is that time in
// milliseconds, or a little above.
func started(in *registrar.Instance) time.Time {
	return time.UnixMilli(int64(in.Incarnation()))
}

// rank returns the weight of an instance for a key.
func rank(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id) // A hash takes every write.
	_, _ = io.WriteString(h, "\x00")
	_, _ = io.WriteString(h, key)
	x := h.Sum64()
	// The finalizer of MurmurHash3: FNV alone hardly mixes the last bytes upwards.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
