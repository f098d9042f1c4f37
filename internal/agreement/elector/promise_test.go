package elector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateCopiesDoNotEndALease delivers the messages of a round that was given up once more, while
// its candidate holds the lease by a later round.
func TestLateCopiesDoNotEndALease(t *testing.T) {
	const now = time.Hour
	p := newPromise(1, now-2*leaseLength)
	former := message{kind: kindRequest, candidate: 3, round: 4, epoch: 1}
	assert.Assert(t, p.grant(former, address(0), 1, now))
	p.release(former)

	later := message{kind: kindRequest, candidate: 3, round: 7, epoch: 1}
	assert.Assert(t, p.grant(later, address(0), 1, now+leaseLength/4))
	assert.Check(t, !p.grant(former, address(0), 1, now+leaseLength/2), "a copy of an earlier request was granted")
	p.release(former)
	other := message{kind: kindRequest, candidate: 5, round: 1, epoch: 1}
	assert.Check(t, !p.grant(other, address(1), 1, now+leaseLength), "two candidates may hold the lease")
	assert.Check(t, p.grant(other, address(1), 1, now+5*leaseLength/4))
}
