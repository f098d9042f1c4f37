package departurekeeper

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

// formatVersion is the first byte of every message.
const formatVersion = 1

// headerBytes is the length of the version and the nonce of a message.
const headerBytes = 1 + 8

var errMalformed = errors.New("malformed message about a departure")

// Departure names an incarnation of an upstream that has said that it accepts no new requests.
// It also covers all earlier incarnations. The zero value names none.
type Departure struct {
	// Upstream is the id of the upstream.
	Upstream string
	// StartedAt is its start time, in whole milliseconds.
	StartedAt time.Time
}

// known reports whether the departure names an incarnation.
func (d Departure) known() bool { return d.Upstream != "" && !d.StartedAt.IsZero() }

// covers reports whether a holder of d needs not hold o.
func (d Departure) covers(o Departure) bool {
	same := d.Upstream == o.Upstream && d.StartedAt.Equal(o.StartedAt)
	return same || !o.known() || d.known() && d.StartedAt.After(o.StartedAt)
}

// message is a request to a control instance, or its answer.
type message struct {
	// nonce tells the answers to this process of a node from those to earlier ones.
	nonce uint64
	// instance is the instance whose upstream departed.
	instance string
	// departure is the newest one that the sender knows.
	departure Departure
}

// encode returns the encoded message. Texts of more than 65,535 bytes are cut off; the datagram
// is too large then.
func (m message) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{formatVersion}, m.nonce)
	b = appendText(b, m.instance)
	b = appendText(b, m.departure.Upstream)
	var started int64
	if m.departure.known() {
		started = m.departure.StartedAt.UnixMilli()
	}
	return binary.BigEndian.AppendUint64(b, uint64(started))
}

// decodeMessage decodes a message, whose bytes it does not keep.
func decodeMessage(b []byte) (message, error) {
	if len(b) < headerBytes || b[0] != formatVersion {
		return message{}, errors.Wrapf(errMalformed, "%d bytes", len(b))
	}
	m := message{nonce: binary.BigEndian.Uint64(b[1:])}
	var ok bool
	if m.instance, b, ok = takeText(b[headerBytes:]); !ok || m.instance == "" {
		return message{}, errors.Wrap(errMalformed, "no instance")
	}
	if m.departure.Upstream, b, ok = takeText(b); !ok || len(b) != 8 {
		return message{}, errors.Wrap(errMalformed, "no upstream")
	}
	if m.departure.Upstream != "" {
		m.departure.StartedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
	}
	return m, nil
}

func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint16)]
	b = binary.BigEndian.AppendUint16(b, uint16(len(text)))
	return append(b, text...)
}

// takeText returns the text at the start of b, and the rest of b.
func takeText(b []byte) (string, []byte, bool) {
	if len(b) < 2 {
		return "", nil, false
	}
	n := int(binary.BigEndian.Uint16(b))
	if b = b[2:]; len(b) < n {
		return "", nil, false
	}
	return string(b[:n]), b[n:], true
}
