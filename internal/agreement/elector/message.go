package elector

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// formatVersion is the first byte of every message.
const formatVersion = 1

// messageBytes is the length of every message.
const messageBytes = 2 + 3*8

// messageKind tells what a message is for.
type messageKind byte

const (
	// kindRequest asks a voter for a lease.
	kindRequest messageKind = iota + 1
	// kindGrant tells a candidate that it has got one. A refusal has no response.
	kindGrant
	// kindRelease gives a lease back.
	kindRelease
)

var errMalformedMessage = errors.New("malformed message of an election")

// message is one datagram of an election.
type message struct {
	kind                    messageKind
	candidate, round, epoch uint64
}

func (m message) encode() []byte {
	b := make([]byte, 0, messageBytes)
	b = append(b, formatVersion, byte(m.kind))
	b = binary.BigEndian.AppendUint64(b, m.candidate)
	b = binary.BigEndian.AppendUint64(b, m.round)
	return binary.BigEndian.AppendUint64(b, m.epoch)
}

func decodeMessage(b []byte) (message, error) {
	if len(b) != messageBytes || b[0] != formatVersion {
		return message{}, errors.Wrapf(errMalformedMessage, "%d bytes", len(b))
	}
	m := message{
		kind:      messageKind(b[1]),
		candidate: binary.BigEndian.Uint64(b[2:]),
		round:     binary.BigEndian.Uint64(b[10:]),
		epoch:     binary.BigEndian.Uint64(b[18:]),
	}
	if m.kind < kindRequest || m.kind > kindRelease || m.candidate == 0 {
		return message{}, errors.Wrapf(errMalformedMessage, "kind %d", m.kind)
	}
	return m, nil
}
