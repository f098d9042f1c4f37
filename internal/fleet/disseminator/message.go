package disseminator

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
)

// formatVersion is the first byte of every message.
const formatVersion = 1

// Lengths in bytes. A message is a header and any number of records; a record is a fingerprint,
// the number of its crashes, and these.
const (
	headerBytes = 1 + 1 + 8
	crashBytes  = 8 + 4 + 1
	recordBytes = fingerprinter.Size + 1
)

// messageKind tells what the receiver of a message does beside merging its evidence.
type messageKind byte

const (
	// kindPush has no response.
	kindPush messageKind = iota + 1
	// kindCompare asks for all evidence of the receiver if its digest differs.
	kindCompare
	// kindReply is part of a response, and kindLastReply its end. The latter asks for the
	// evidence of the receiver if the digests still differ.
	kindReply
	kindLastReply
)

var errMalformedMessage = errors.New("malformed message about crashes")

// message is one datagram about the evidence of its sender.
type message struct {
	kind     messageKind
	digest   uint64 // Of all evidence of the sender.
	evidence []quarantiner.Evidence
}

// encode returns the message as sent at now. Times are encoded as ages, since clocks differ.
func (m message) encode(now time.Time) []byte {
	b := []byte{formatVersion, byte(m.kind)}
	b = binary.BigEndian.AppendUint64(b, m.digest)
	for _, e := range m.evidence {
		b = append(b, e.Fingerprint[:]...)
		b = append(b, byte(len(e.Crashes)))
		for _, c := range e.Crashes {
			b = binary.BigEndian.AppendUint64(b, uint64(c.ID))
			age := min(max(now.Sub(c.At).Milliseconds(), 0), math.MaxUint32)
			b = binary.BigEndian.AppendUint32(b, uint32(age))
			b = append(b, c.Flags())
		}
	}
	return b
}

// encodedBytes returns the length of the record of e.
func encodedBytes(e quarantiner.Evidence) int { return recordBytes + crashBytes*len(e.Crashes) }

// decodeMessage decodes a message that was received at now.
func decodeMessage(b []byte, now time.Time) (message, error) {
	if len(b) < headerBytes || b[0] != formatVersion {
		return message{}, errors.Wrapf(errMalformedMessage, "%d bytes", len(b))
	}
	m := message{kind: messageKind(b[1]), digest: binary.BigEndian.Uint64(b[2:])}
	if m.kind < kindPush || m.kind > kindLastReply {
		return message{}, errors.Wrapf(errMalformedMessage, "kind %d", m.kind)
	}
	for rest := b[headerBytes:]; len(rest) > 0; {
		e, n, err := decodeEvidence(rest, now)
		if err != nil {
			return message{}, err
		}
		m.evidence = append(m.evidence, e)
		rest = rest[n:]
	}
	return m, nil
}

// decodeEvidence decodes the record at the start of b and returns its length.
func decodeEvidence(b []byte, now time.Time) (quarantiner.Evidence, int, error) {
	if len(b) < recordBytes {
		return quarantiner.Evidence{}, 0, errors.Wrap(errMalformedMessage, "short record")
	}
	e := quarantiner.Evidence{Fingerprint: fingerprinter.Fingerprint(b[:fingerprinter.Size])}
	n := int(b[fingerprinter.Size])
	length := recordBytes + crashBytes*n
	if n == 0 || n > quarantiner.MaxCrashes || len(b) < length {
		return quarantiner.Evidence{}, 0, errors.Wrapf(errMalformedMessage, "%d crashes", n)
	}
	for crash := b[recordBytes:length]; len(crash) > 0; crash = crash[crashBytes:] {
		age := time.Duration(binary.BigEndian.Uint32(crash[8:])) * time.Millisecond
		id := crashwatcher.CrashID(binary.BigEndian.Uint64(crash))
		c := quarantiner.Crash{Crash: crashwatcher.Crash{ID: id, At: now.Add(-age)}}
		c.SetFlags(crash[crashBytes-1])
		e.Crashes = append(e.Crashes, c)
	}
	return e, length, nil
}
