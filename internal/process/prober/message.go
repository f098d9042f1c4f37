package prober

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/sampler"
)

const (
	// formatVersion is the first byte of every message.
	formatVersion = 3
	// probeBytes and responseBytes are the lengths of the messages.
	probeBytes    = 1 + 4 + 4
	responseBytes = 1 + 4 + 8 + 2 + 2 + 2 + 4 + 1 + 1 + 2 + 2 + 2
	// datagramHeaderBytes is the size of the headers of a datagram: IP, UDP and the
	// byte for its kind.
	datagramHeaderBytes = 20 + 8 + 1
	// responseCost and exchangeCost are the bytes charged for a response, and for a
	// probe with its response.
	responseCost = responseBytes + datagramHeaderBytes
	exchangeCost = probeBytes + datagramHeaderBytes + responseCost
)

// ErrMalformedMessage means that a datagram is not a probe, or not a response, where
// one is expected.
var ErrMalformedMessage = errors.New("malformed probe message")

// probe requests the load of an instance.
type probe struct {
	nonce        uint32
	instanceHash uint32 // Hash of the id of the instance.
}

// response carries the load of an instance.
type response struct {
	nonce       uint32
	incarnation uint64
	load        sampler.Load
}

func decodeResponse(b []byte) (response, error) {
	if len(b) != responseBytes || b[0] != formatVersion {
		return response{}, errors.Wrapf(ErrMalformedMessage, "%d bytes", len(b))
	}
	order := binary.BigEndian
	return response{
		nonce:       order.Uint32(b[1:]),
		incarnation: order.Uint64(b[5:]),
		load: sampler.NewLoad(sampler.LoadSpec{
			InFlight:        int(order.Uint16(b[13:])),
			Queued:          int(order.Uint16(b[15:])),
			Limit:           int(order.Uint16(b[17:])),
			Latency:         time.Duration(order.Uint32(b[19:])) * time.Microsecond,
			WarmPercent:     int(b[23]),
			FailurePercent:  int(b[24]),
			SlownessPercent: int(order.Uint16(b[25:])),
			SlowdownLeft:    time.Duration(order.Uint16(b[27:])) * time.Millisecond,
			LinkWait:        time.Duration(order.Uint16(b[29:])) * time.Millisecond,
		}),
	}, nil
}

func decodeProbe(b []byte) (probe, error) {
	if len(b) != probeBytes || b[0] != formatVersion {
		return probe{}, errors.Wrapf(ErrMalformedMessage, "%d bytes", len(b))
	}
	return probe{nonce: binary.BigEndian.Uint32(b[1:]), instanceHash: binary.BigEndian.Uint32(b[5:])}, nil
}

func (r response) encode() []byte {
	order := binary.BigEndian
	b := make([]byte, 0, responseBytes)
	b = append(b, formatVersion)
	b = order.AppendUint32(b, r.nonce)
	b = order.AppendUint64(b, r.incarnation)
	b = order.AppendUint16(b, clampUint16(r.load.InFlight()))
	b = order.AppendUint16(b, clampUint16(r.load.Queued()))
	b = order.AppendUint16(b, clampUint16(r.load.Limit()))
	b = order.AppendUint32(b, uint32(r.load.Latency().Microseconds()))
	b = append(b, byte(r.load.WarmPercent()), byte(r.load.FailurePercent()))
	b = order.AppendUint16(b, clampUint16(r.load.SlownessPercent()))
	b = order.AppendUint16(b, clampUint16(int(r.load.SlowdownLeft().Milliseconds())))
	return order.AppendUint16(b, clampUint16(int(r.load.LinkWait().Milliseconds())))
}

func (p probe) encode() []byte {
	b := make([]byte, 0, probeBytes)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint32(b, p.nonce)
	return binary.BigEndian.AppendUint32(b, p.instanceHash)
}

func clampUint16(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// hashID returns the 32-bit FNV-1a hash of an instance id.
func hashID(instanceID string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instanceID)) // Never fails.
	return h.Sum32()
}
