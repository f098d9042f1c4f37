package quarantiner

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// Trial determines which instance of a service runs a request on trial.
type Trial struct {
	Fingerprint fingerprinter.Fingerprint
	// Period counts the periods since the last crash. Nodes differ in it only around its change.
	Period uint64
}

// Choose returns the instance of a service that runs the request, or nil if none takes work. Nodes
// that know the same instances agree on it.
func (t Trial) Choose(instances []*registrar.Instance) *registrar.Instance {
	var chosen *registrar.Instance
	best := uint64(0)
	for _, in := range instances {
		if !in.State().Routable() {
			continue
		}
		if rank := t.rank(in.ID()); chosen == nil || rank > best {
			chosen, best = in, rank
		}
	}
	return chosen
}

// rank returns the rank of an instance. The one with the highest rank runs the request.
func (t Trial) rank(instanceID string) uint64 {
	h := fnv.New64a()
	h.Write(t.Fingerprint[:]) // Never fails.
	h.Write(binary.BigEndian.AppendUint64(nil, t.Period))
	h.Write([]byte(instanceID))
	return h.Sum64()
}
