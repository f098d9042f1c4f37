package prober

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/measurement/sampler"
)

const (
	// formatVersion is the first byte of every message.
	formatVersion = 3
	// probeBytes and responseBytes are the lengths of the messages.
	probeBytes    = 1 + 4 + 4
	responseBytes = 1 + 4 + 8 + 2 + 2 + 2 + 4 + 1 + 1 + 2 + 2 + 2
	// rateLimitBytes is the length of the rate limit, which only the response of an
	// instance with one has at its end.
	rateLimitBytes = 4 + 2 + 2 + 2
	// datagramHeaderBytes is the size of the headers of a datagram: IP, UDP and the
	// byte for its kind.
	datagramHeaderBytes = 20 + 8 + 1
	// exchangeCost is the bytes charged for a probe with its response. maxExchangeCost is
	// charged when a probe is sent, and rateLimitBytes refunded if the response has no
	// rate limit.
	exchangeCost    = probeBytes + responseBytes + 2*datagramHeaderBytes
	maxExchangeCost = exchangeCost + rateLimitBytes
	// milli is the number of units of an encoded rate in one request a second.
	milli = 1000
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
	limited := len(b) == responseBytes+rateLimitBytes
	if len(b) != responseBytes && !limited || b[0] != formatVersion {
		return response{}, errors.Wrapf(ErrMalformedMessage, "%d bytes", len(b))
	}
	order := binary.BigEndian
	var rate sampler.RateLimit
	if limited {
		rate = decodeRateLimit(b[responseBytes:])
	}
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
			Rate:            rate,
		}),
	}, nil
}

// decodeRateLimit decodes the rate limit at the end of a response.
func decodeRateLimit(b []byte) sampler.RateLimit {
	order := binary.BigEndian
	return sampler.RateLimit{
		PerSecond: float64(order.Uint32(b)) / milli,
		Age:       time.Duration(order.Uint16(b[4:])) * time.Millisecond,
		Left:      int(order.Uint16(b[6:])),
		Wait:      time.Duration(order.Uint16(b[8:])) * time.Millisecond,
	}
}

func decodeProbe(b []byte) (probe, error) {
	if len(b) != probeBytes || b[0] != formatVersion {
		return probe{}, errors.Wrapf(ErrMalformedMessage, "%d bytes", len(b))
	}
	return probe{nonce: binary.BigEndian.Uint32(b[1:]), instanceHash: binary.BigEndian.Uint32(b[5:])}, nil
}

func (r response) encode() []byte {
	order := binary.BigEndian
	b := make([]byte, 0, responseBytes+rateLimitBytes)
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
	b = order.AppendUint16(b, clampUint16(int(r.load.LinkWait().Milliseconds())))
	rate := r.load.Rate()
	if !rate.Limited() {
		return b
	}
	b = order.AppendUint32(b, uint32(math.Round(rate.PerSecond*milli)))
	b = order.AppendUint16(b, clampUint16(int(rate.Age.Milliseconds())))
	b = order.AppendUint16(b, clampUint16(rate.Left))
	return order.AppendUint16(b, clampUint16(int(rate.Wait.Milliseconds())))
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
