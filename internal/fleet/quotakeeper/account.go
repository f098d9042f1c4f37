package quotakeeper

import (
	"math"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	// demandTimeConstant is the time constant of the estimate of demand for which tokens are
	// asked, and leaseDemandTimeConstant that of the demand for which a lease is wanted. One
	// request alone wants none.
	demandTimeConstant      = time.Second
	leaseDemandTimeConstant = 3 * time.Second
	// wishTolerance is the part by which a wish may change before it is reported, and repeatWishAfter
	// the time after which one that was not met is reported again.
	wishTolerance   = 0.25
	repeatWishAfter = time.Second
	// leaseHeadroom is the wanted lease in proportion to demand.
	leaseHeadroom = 1.25
	// leaseBurst is the time whose part of the lease may be taken at once.
	leaseBurst = 250 * time.Millisecond
	// minLeasedDemand is the least demand in requests a second for which a lease is wanted: one that
	// serves a request in the time in which a grantor is replaced.
	minLeasedDemand = 0.4
	// minSendTime is the least time in which a request that was taken may be sent, since a token may
	// be taken just before its end.
	minSendTime = 50 * time.Millisecond
	// backOffAhead is the time whose demand is asked for if there was no room.
	backOffAhead = maxBackOff
)

// Ticket is what was taken for a request.
type Ticket struct {
	validUntil time.Duration // 0 if nothing was taken.
	// usableUntil is when the request must have been sent.
	usableUntil time.Duration
	leased      bool
}

// NewTicket returns a ticket that may be given back until the given time.
func NewTicket(validUntil time.Duration) Ticket { return Ticket{validUntil: validUntil} }

// Taken reports whether the request may run.
func (t Ticket) Taken() bool { return t.validUntil != 0 }

// waiter is a request that waits for an answer.
type waiter struct{ done chan Ticket }

// account is what this node knows of the quota of one organisation.
type account struct {
	id     grantor.OrganisationID
	name   string
	limit  float64 // The rate that this node's configuration allows.
	own    ownLimit
	tokens tokens
	// waiters are the requests that wait, oldest first.
	waiters []*waiter
	// asked is the number of tokens that the ask under way wants.
	asked int
	// pending is the record in the ask under way, or nil.
	pending *grantor.AskRecord
	// returned and spent are not reported yet; spent is from the lease.
	returned, spent int
	// rate is the lease's, and reported the tenure in which it was last reported.
	rate     float64
	reported uint64
	// reportedRate is what was reported last. A lease that was given up counts at the grantor until
	// that is reported.
	reportedRate float64
	// reportedWish is the wish that was reported last, at reportedAt.
	reportedWish float64
	reportedAt   time.Duration
	// leaseLevel is what may be taken from the lease, at leaseAt.
	leaseLevel float64
	leaseAt    time.Duration
	// refusedUntil is when to ask again after there was no room, and roomAt when there may be.
	refusedUntil, roomAt time.Duration
	// arrivals counts the requests since the last review, and the rates are theirs.
	arrivals        int
	demandRate      float64
	leaseDemandRate float64
	reviewedAt      time.Duration
	usedAt          time.Duration
	// taken and refused count requests since the start, for operators.
	taken, refused int64
	// givenBack counts the taken requests that have not run.
	givenBack int64
	// flushedTaken and flushedRefused are the parts of them that metrics have.
	flushedTaken, flushedRefused int64
}

// observe counts a request.
func (a *account) observe(o *compiler.Organisation, now time.Duration) {
	a.arrivals++
	a.usedAt = now
	if a.reviewedAt == 0 {
		a.reviewedAt = now
	}
	a.limit = o.Rate()
	a.own.set(o.Rate(), o.Burst(), now)
}

// ticket counts a request that may run.
func (a *account) ticket(t Ticket, now time.Duration) Ticket {
	t.usableUntil = max(t.validUntil, now+minSendTime)
	a.taken++
	a.own.take()
	return t
}

// review updates the estimate of demand.
func (a *account) review(now time.Duration) {
	passed := now - a.reviewedAt
	if passed <= 0 {
		return
	}
	rate := float64(a.arrivals) / passed.Seconds()
	a.demandRate = smooth(a.demandRate, rate, passed, demandTimeConstant)
	a.leaseDemandRate = smooth(a.leaseDemandRate, rate, passed, leaseDemandTimeConstant)
	a.arrivals, a.reviewedAt = 0, now
}

// smooth returns the new value of an estimate with the given time constant.
func smooth(estimate, sample float64, passed, constant time.Duration) float64 {
	weight := math.Exp(-passed.Seconds() / constant.Seconds())
	return estimate*weight + sample*(1-weight)
}

// wish returns the rate that this node wants to lease.
func (a *account) wish() float64 {
	if a.leaseDemandRate < minLeasedDemand {
		return 0
	}
	return min(a.leaseDemandRate*leaseHeadroom, a.limit)
}

// leaseDue reports whether the grantor should hear of the lease.
func (a *account) leaseDue(now time.Duration) bool {
	wish := a.wish()
	changed := math.Abs(wish-a.reportedWish) > wishTolerance*max(wish, a.reportedWish)
	unmet := wish > a.rate*(1+wishTolerance) && now-a.reportedAt >= repeatWishAfter
	return changed || unmet || a.rate != a.reportedRate
}

// missing returns how many tokens are wanted, for the requests that wait and for those of the
// given time. One is wanted in any case if it will probably be used while it is valid.
func (a *account) missing(ahead, validity time.Duration) int {
	next := int(a.demandRate * ahead.Seconds())
	if next == 0 && a.demandRate*validity.Seconds() >= 1 {
		next = 1
	}
	return max(len(a.waiters)+next-a.tokens.count()-a.asked, 0)
}

// removeWaiter removes a request that waits no longer.
func (a *account) removeWaiter(w *waiter) {
	a.waiters = slices.DeleteFunc(a.waiters, func(other *waiter) bool { return other == w })
}

// serveWaiters decides on the waiting requests with the tokens at hand.
func (a *account) serveWaiters(take func() Ticket) {
	for len(a.waiters) > 0 {
		ticket := take()
		if !ticket.Taken() {
			return
		}
		a.waiters[0].done <- ticket
		a.waiters = a.waiters[1:]
	}
}

// refuseWaiters refuses the waiting requests.
func (a *account) refuseWaiters() {
	for _, w := range a.waiters {
		w.done <- Ticket{}
	}
	a.waiters = nil
}

// takeLeased takes a request from the lease, of which nothing is left from before the last answer,
// the ask of which was sent at sentAt. Its rate never exceeds the limit that this node knows.
func (a *account) takeLeased(sentAt, now time.Duration) bool {
	if a.leaseAt < sentAt {
		a.leaseLevel, a.leaseAt = 0, sentAt
	}
	rate := min(a.rate, a.limit)
	most := max(1, rate*leaseBurst.Seconds())
	a.leaseLevel = min(a.leaseLevel+rate*(now-a.leaseAt).Seconds(), most)
	a.leaseAt = now
	if a.leaseLevel < 1 {
		return false
	}
	a.leaseLevel--
	a.spent++
	return true
}

// idle reports whether the account may be forgotten.
func (a *account) idle(now time.Duration) bool {
	return now-a.usedAt >= idleAfter && a.rate == 0 && a.reportedRate == 0 && a.spent == 0 && a.returned == 0 &&
		len(a.waiters) == 0 && a.tokens.count() == 0
}

// inAsk reports whether the ask under way has a record of the account.
func (a *account) inAsk() bool { return a.pending != nil }
