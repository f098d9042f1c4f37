package elector

import (
	"net/netip"
	"time"
)

// promise is what a voter has granted.
type promise struct {
	candidate  uint64 // 0 for none.
	address    netip.AddrPort
	round      uint64
	until      time.Duration
	epoch      uint64        // Of the membership that the voter knew last.
	quietUntil time.Duration // Until then no new lease is granted.
}

// newPromise returns the promise of a voter that has started and does not know what it had
// granted before.
func newPromise(epoch uint64, now time.Duration) promise {
	return promise{epoch: epoch, quietUntil: now + leaseLength}
}

// grant decides on a request. accepted is the epoch of the membership that the voter knows. A late
// copy of an earlier request is refused, since a copy of its release would end the lease.
func (p *promise) grant(m message, from netip.AddrPort, accepted uint64, now time.Duration) bool {
	if p.epoch != accepted {
		p.epoch, p.quietUntil = accepted, now+leaseLength
	}
	if m.epoch != accepted {
		return false
	}
	if m.candidate == p.candidate && m.round < p.round {
		return false
	}
	renewal := m.candidate == p.candidate && now < p.until
	if !renewal && (now < p.quietUntil || now < p.until) {
		return false
	}
	p.candidate, p.address, p.round, p.until = m.candidate, from, m.round, now+leaseLength
	return true
}

// release ends the promise that was made in the given round.
func (p *promise) release(m message) {
	if p.candidate == m.candidate && p.round == m.round {
		p.until = 0
	}
}

// holder returns the address of the candidate with an unexpired lease.
func (p *promise) holder(now time.Duration) (netip.AddrPort, bool) {
	return p.address, p.candidate != 0 && now < p.until
}
