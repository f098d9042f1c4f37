package grantor

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
)

// formatVersion is the first byte of every message.
const formatVersion = 1

// Lengths in bytes.
const (
	askHeaderBytes    = 1 + 4 + 8 + 8 + 1
	askRecordBytes    = 8 + 3*2 + 2*4
	answerHeaderBytes = 2 + 4 + 8 + 3*2
	grantBytes        = 8 + 2 + 4 + 2
	greetingBytes     = 2 + 8
	redirectBytes     = 2 + 4 // Without the address.
)

// MaxRecords is the number of records that fit an ask.
const MaxRecords = (courier.MaxPayload - askHeaderBytes) / askRecordBytes

// Kinds of messages to nodes, after the version.
const (
	kindAnswer byte = iota + 1
	kindRedirect
	kindGreeting
)

// rateUnit is the number of units of an encoded rate in one request a second.
const rateUnit = 1000

var errMalformedMessage = errors.New("malformed message about quotas")

// OrganisationID is a digest of an organisation's name.
type OrganisationID uint64

// IDOf returns the id of the organisation with the given name.
func IDOf(name string) OrganisationID {
	digest := sha256.Sum256([]byte(name))
	return OrganisationID(binary.BigEndian.Uint64(digest[:]))
}

// Ask is a message of a node. An ask that is sent again is the same message.
type Ask struct {
	// Seq rises with each ask of a process, and Start tells processes of a node apart.
	Seq   uint32
	Start uint64
	// Tenure is the latest that the node knows.
	Tenure uint64
	// Complete reports whether the node has reported all its leases in that tenure.
	Complete bool
	Records  []AskRecord
}

// AskRecord is what a node asks and reports of one organisation.
type AskRecord struct {
	Organisation OrganisationID
	// Wanted and Returned are numbers of tokens. Spent is the number of requests that were
	// taken from the lease.
	Wanted, Returned, Spent int
	// Held is the rate of the lease that the node holds and Wish the one it wants, in requests
	// a second.
	Held, Wish float64
}

// Encode returns the ask as sent.
func (a Ask) Encode() []byte {
	b := []byte{formatVersion}
	b = binary.BigEndian.AppendUint32(b, a.Seq)
	b = binary.BigEndian.AppendUint64(b, a.Start)
	b = binary.BigEndian.AppendUint64(b, a.Tenure)
	b = append(b, boolByte(a.Complete))
	for _, r := range a.Records {
		b = binary.BigEndian.AppendUint64(b, uint64(r.Organisation))
		b = appendCount(b, r.Wanted)
		b = appendCount(b, r.Returned)
		b = appendCount(b, r.Spent)
		b = appendRate(b, r.Held)
		b = appendRate(b, r.Wish)
	}
	return b
}

// DecodeAsk decodes an ask.
func DecodeAsk(b []byte) (Ask, error) {
	if len(b) < askHeaderBytes || b[0] != formatVersion || (len(b)-askHeaderBytes)%askRecordBytes != 0 {
		return Ask{}, errors.Wrapf(errMalformedMessage, "%d bytes", len(b))
	}
	a := Ask{
		Seq:      binary.BigEndian.Uint32(b[1:]),
		Start:    binary.BigEndian.Uint64(b[5:]),
		Tenure:   binary.BigEndian.Uint64(b[13:]),
		Complete: b[21] != 0,
	}
	for rest := b[askHeaderBytes:]; len(rest) > 0; rest = rest[askRecordBytes:] {
		a.Records = append(a.Records, AskRecord{
			Organisation: OrganisationID(binary.BigEndian.Uint64(rest)),
			Wanted:       int(binary.BigEndian.Uint16(rest[8:])),
			Returned:     int(binary.BigEndian.Uint16(rest[10:])),
			Spent:        int(binary.BigEndian.Uint16(rest[12:])),
			Held:         rate(rest[14:]),
			Wish:         rate(rest[18:]),
		})
	}
	return a, nil
}

// Answer is the response to an ask.
type Answer struct {
	Seq    uint32
	Tenure uint64
	// Interval is the shortest time between two asks of a node, Validity that of tokens and
	// Lease that of all leases of the node, both from when the ask was sent.
	Interval, Validity, Lease time.Duration
	Grants                    []Grant
}

// Grant is what a node has got for one record of its ask.
type Grant struct {
	Organisation OrganisationID
	Tokens       int
	// Rate is the rate of the lease, in requests a second.
	Rate float64
	// Wait is the time until there is room, if there are fewer tokens than wanted.
	Wait time.Duration
}

// Redirect tells a node who grants, as far as the sender knows.
type Redirect struct {
	Seq uint32
	// Grantor is invalid if it is not known.
	Grantor netip.AddrPort
}

// Greeting asks a node to report its leases in a tenure of the sender.
type Greeting struct{ Tenure uint64 }

// Encode returns the answer as sent.
func (a Answer) Encode() []byte {
	b := []byte{formatVersion, kindAnswer}
	b = binary.BigEndian.AppendUint32(b, a.Seq)
	b = binary.BigEndian.AppendUint64(b, a.Tenure)
	b = appendMillis(b, a.Interval)
	b = appendMillis(b, a.Validity)
	b = appendMillis(b, a.Lease)
	for _, g := range a.Grants {
		b = binary.BigEndian.AppendUint64(b, uint64(g.Organisation))
		b = appendCount(b, g.Tokens)
		b = appendRate(b, g.Rate)
		b = appendMillis(b, g.Wait)
	}
	return b
}

// Encode returns the redirect as sent.
func (r Redirect) Encode() []byte {
	b := binary.BigEndian.AppendUint32([]byte{formatVersion, kindRedirect}, r.Seq)
	if !r.Grantor.IsValid() {
		return b
	}
	return append(b, r.Grantor.String()...)
}

// Encode returns the greeting as sent.
func (g Greeting) Encode() []byte {
	return binary.BigEndian.AppendUint64([]byte{formatVersion, kindGreeting}, g.Tenure)
}

// DecodeToNode decodes a message to a node: an Answer, a Redirect or a Greeting.
func DecodeToNode(b []byte) (any, error) {
	if len(b) < 2 || b[0] != formatVersion {
		return nil, errors.Wrapf(errMalformedMessage, "%d bytes", len(b))
	}
	switch {
	case b[1] == kindAnswer && len(b) >= answerHeaderBytes && (len(b)-answerHeaderBytes)%grantBytes == 0:
		return decodeAnswer(b), nil
	case b[1] == kindRedirect && len(b) == redirectBytes:
		return Redirect{Seq: binary.BigEndian.Uint32(b[2:])}, nil
	case b[1] == kindRedirect && len(b) > redirectBytes:
		address, err := netip.ParseAddrPort(string(b[redirectBytes:]))
		if err != nil {
			return nil, errors.Wrap(errMalformedMessage, "address")
		}
		return Redirect{Seq: binary.BigEndian.Uint32(b[2:]), Grantor: address}, nil
	case b[1] == kindGreeting && len(b) == greetingBytes:
		return Greeting{Tenure: binary.BigEndian.Uint64(b[2:])}, nil
	}
	return nil, errors.Wrapf(errMalformedMessage, "kind %d of %d bytes", b[1], len(b))
}

func decodeAnswer(b []byte) Answer {
	a := Answer{
		Seq:      binary.BigEndian.Uint32(b[2:]),
		Tenure:   binary.BigEndian.Uint64(b[6:]),
		Interval: millis(b[14:]),
		Validity: millis(b[16:]),
		Lease:    millis(b[18:]),
	}
	for rest := b[answerHeaderBytes:]; len(rest) > 0; rest = rest[grantBytes:] {
		a.Grants = append(a.Grants, Grant{
			Organisation: OrganisationID(binary.BigEndian.Uint64(rest)),
			Tokens:       int(binary.BigEndian.Uint16(rest[8:])),
			Rate:         rate(rest[10:]),
			Wait:         millis(rest[14:]),
		})
	}
	return a
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func appendCount(b []byte, n int) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), math.MaxUint16)))
}

// appendRate rounds down, so that what is held is never more than what was granted.
func appendRate(b []byte, perSecond float64) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(min(max(perSecond, 0)*rateUnit, math.MaxUint32)))
}

func rate(b []byte) float64 { return float64(binary.BigEndian.Uint32(b)) / rateUnit }

func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d.Milliseconds(), 0), math.MaxUint16)))
}

func millis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}
