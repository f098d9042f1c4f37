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
	// formatVersion is the first byte of each message.
	formatVersion = 3
	// probeBytes and answerBytes are the lengths of the messages.
	probeBytes  = 1 + 4 + 4
	answerBytes = 1 + 4 + 8 + 2 + 2 + 2 + 4 + 1 + 1 + 2 + 2 + 2
	// datagramBytes are the headers of a datagram: IP, UDP and the byte that
	// tells its kind.
	datagramBytes = 20 + 8 + 1
	// answerCost and exchangeCost are the bytes charged for an answer, and for
	// a probe with its answer.
	answerCost   = answerBytes + datagramBytes
	exchangeCost = probeBytes + datagramBytes + answerCost
)

// ErrMessage reports a datagram that is neither a probe nor an answer.
var ErrMessage = errors.New("malformed probe message")

// probe asks an instance for its load.
type probe struct {
	nonce    uint32
	instance uint32 // Hash of the id of the instance that is asked.
}

// answer tells an instance's load.
type answer struct {
	nonce       uint32
	incarnation uint64
	load        sampler.Load
}

func decodeAnswer(b []byte) (answer, error) {
	if len(b) != answerBytes || b[0] != formatVersion {
		return answer{}, errors.Wrapf(ErrMessage, "%d bytes", len(b))
	}
	order := binary.BigEndian
	return answer{
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
			SpellLeft:       time.Duration(order.Uint16(b[27:])) * time.Millisecond,
			LinkWait:        time.Duration(order.Uint16(b[29:])) * time.Millisecond,
		}),
	}, nil
}

func decodeProbe(b []byte) (probe, error) {
	if len(b) != probeBytes || b[0] != formatVersion {
		return probe{}, errors.Wrapf(ErrMessage, "%d bytes", len(b))
	}
	return probe{nonce: binary.BigEndian.Uint32(b[1:]), instance: binary.BigEndian.Uint32(b[5:])}, nil
}

func (a answer) encode() []byte {
	order := binary.BigEndian
	b := make([]byte, 0, answerBytes)
	b = append(b, formatVersion)
	b = order.AppendUint32(b, a.nonce)
	b = order.AppendUint64(b, a.incarnation)
	b = order.AppendUint16(b, clampUint16(a.load.InFlight()))
	b = order.AppendUint16(b, clampUint16(a.load.Queued()))
	b = order.AppendUint16(b, clampUint16(a.load.Limit()))
	b = order.AppendUint32(b, uint32(a.load.Latency().Microseconds()))
	b = append(b, byte(a.load.WarmPercent()), byte(a.load.FailurePercent()))
	b = order.AppendUint16(b, clampUint16(a.load.SlownessPercent()))
	b = order.AppendUint16(b, clampUint16(int(a.load.SpellLeft().Milliseconds())))
	return order.AppendUint16(b, clampUint16(int(a.load.LinkWait().Milliseconds())))
}

func (p probe) encode() []byte {
	b := make([]byte, 0, probeBytes)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint32(b, p.nonce)
	return binary.BigEndian.AppendUint32(b, p.instance)
}

func clampUint16(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

// hashID returns a short hash of an instance's id.
func hashID(instanceID string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instanceID)) // Never fails.
	return h.Sum32()
}
