package quarantiner

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// Trial determines which instance of a service runs a request on trial.
type Trial struct {
	Fingerprint fingerprinter.Fingerprint
	LastCrash   crashwatcher.CrashID
	// Period counts the periods since the last crash. Nodes differ in it only around its change.
	Period uint64
}

// Rank returns the rank of an instance. The one with the highest rank runs the request.
func (t Trial) Rank(instanceID string) uint64 {
	h := fnv.New64a()
	h.Write(t.Fingerprint[:]) // Never fails.
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(t.LastCrash)))
	h.Write(binary.BigEndian.AppendUint64(nil, t.Period))
	h.Write([]byte(instanceID))
	return h.Sum64()
}
