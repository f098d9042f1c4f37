package quotakeeper

import (
	"net/netip"
	"time"

	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
	"github.com/banyanscale/banyanscale/internal/connection/courier"
)

// bytesPerSecond bounds what a node sends for quotas, and burstTime is the time whose bytes may be
// sent at once.
const (
	bytesPerSecond = 8000
	burstTime      = 2 * time.Second
)

// idleInterval is the time between two looks for something to do while there is no account.
const idleInterval = time.Hour

// run asks for what is due until the keeper stops.
func (k *Keeper) run() error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-k.tomb.Dying():
			return nil
		case <-k.wake:
		case <-timer.C:
		}
		timer.Reset(k.act())
	}
}

// act does what is due and returns the time until it must be called again.
func (k *Keeper) act() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	if now >= k.reviewAt {
		k.review(now)
	}
	if k.ask.open {
		k.resend(now)
	}
	if !k.ask.open && k.mustAsk(now) && now >= k.sendAt() {
		k.send(now)
	}
	return k.nextAction(now)
}

// nextAction returns the time until something is due, if nothing wakes the keeper before.
func (k *Keeper) nextAction(now time.Duration) time.Duration {
	if len(k.accounts) == 0 && !k.report && !k.ask.open {
		return idleInterval
	}
	next := k.reviewAt
	switch {
	case k.ask.open:
		next = min(next, k.ask.lastAt+k.resendAfter(), k.ask.firstAt+abandonAfter)
	case len(k.due) > 0 || k.report:
		next = min(next, k.sendAt())
	case k.leases > 0:
		next = min(next, k.renewAt())
	}
	return max(next-now, time.Millisecond)
}

// mustAsk reports whether there is something to ask or to say.
func (k *Keeper) mustAsk(now time.Duration) bool {
	return len(k.due) > 0 || k.report || k.leases > 0 && now >= k.renewAt()
}

// renewAt returns when leases are renewed if there is nothing else to say.
func (k *Keeper) renewAt() time.Duration {
	return k.ask.lastAt + max(k.contact.interval, grantor.RenewInterval)
}

// sendAt returns when the next ask may be sent.
func (k *Keeper) sendAt() time.Duration {
	interval := k.contact.interval
	if k.urgent {
		interval = min(interval, maxUrgentInterval)
	}
	return max(k.ask.lastAt+interval, k.budgetUsedUntil-burstTime)
}

func (k *Keeper) resendAfter() time.Duration { return max(minResend, 2*k.contact.roundTrip) }

// review updates the estimates of demand, and forgets what is idle.
func (k *Keeper) review(now time.Duration) {
	k.reviewAt = now + reviewInterval
	k.flushMetrics()
	for id, a := range k.accounts {
		a.tokens.expire(now)
		a.review(now)
		if a.idle(now) {
			delete(k.accounts, id)
			delete(k.due, a)
			continue
		}
		if a.leaseDue(now) || a.tokens.ended > 0 {
			k.due[a] = true
		}
	}
}

// send sends a new ask about what is due.
func (k *Keeper) send(now time.Duration) {
	to := k.destination()
	if !to.IsValid() {
		k.ask.lastAt = now // Look for control instances again later.
		k.fail(now)
		return
	}
	if !k.ask.failing {
		k.ask.failing, k.ask.unanswered = true, now
	}
	k.urgent = false
	k.ask.open, k.ask.to, k.ask.firstAt, k.ask.redirects = true, to, now, 0
	k.ask.seq++
	k.ask.message = grantor.Ask{Seq: k.ask.seq, Start: k.start, Tenure: k.tenure}
	k.ask.accounts = k.ask.accounts[:0]
	k.addUnreported(now)
	k.addDue(now, func(a *account) bool { return len(a.waiters) > 0 })
	k.addDue(now, func(*account) bool { return true })
	k.ask.message.Complete = k.complete || k.allReported()
	k.transmit(now)
}

// addUnreported adds the leases that the grantor may not know.
func (k *Keeper) addUnreported(now time.Duration) {
	if k.complete {
		return
	}
	for _, a := range k.accounts {
		if a.rate > 0 && a.reported != k.tenure && len(k.ask.accounts) < grantor.MaxRecords {
			k.addRecord(a, now)
		}
	}
}

// addDue adds the accounts that are due and meet a condition, as far as there is room.
func (k *Keeper) addDue(now time.Duration, condition func(*account) bool) {
	for a := range k.due {
		if len(k.ask.accounts) >= grantor.MaxRecords {
			return
		}
		if condition(a) {
			k.addRecord(a, now)
		}
	}
}

// allReported reports whether the ask completes the report of leases.
func (k *Keeper) allReported() bool {
	for _, a := range k.accounts {
		if a.rate > 0 && a.reported != k.tenure && !a.inAsk() {
			return false
		}
	}
	return true
}

// addRecord adds an account to the ask: what it has to report, and how many tokens it wants.
func (k *Keeper) addRecord(a *account, now time.Duration) {
	delete(k.due, a)
	a.tokens.expire(now)
	a.returned += a.tokens.ended
	a.tokens.ended = 0
	ahead := k.horizon()
	if now < a.roomAt+maxBackOff {
		ahead = max(ahead, min(backOffAhead, k.contact.validity/2))
	}
	if now >= a.refusedUntil {
		a.asked = 0
		a.asked = a.missing(ahead, k.contact.validity)
	}
	record := grantor.AskRecord{
		Organisation: a.id, Wanted: a.asked, Returned: a.returned, Spent: a.spent, Wish: a.wish(),
	}
	if k.leaseValid(now) {
		record.Held = a.rate
	}
	a.returned, a.spent = 0, 0
	a.pending = &record
	k.ask.message.Records = append(k.ask.message.Records, record)
	k.ask.accounts = append(k.ask.accounts, a)
}

// destination returns the grantor or, if it is not known, some control instance.
func (k *Keeper) destination() netip.AddrPort {
	if k.grantor.IsValid() {
		return k.grantor
	}
	controls := k.cfg.Controls()
	if len(controls) == 0 {
		return netip.AddrPort{}
	}
	return controls[k.cfg.Random.IntN(len(controls))]
}

// resend sends the ask under way again, or gives it up.
func (k *Keeper) resend(now time.Duration) {
	switch {
	case now-k.ask.firstAt >= abandonAfter:
		k.abandon(now)
	case now-k.ask.lastAt >= k.resendAfter():
		k.transmit(now)
	}
}

// transmit sends the ask under way.
func (k *Keeper) transmit(now time.Duration) {
	k.ask.lastAt = now
	payload := k.ask.message.Encode()
	size := len(payload) + courier.Overhead
	k.budgetUsedUntil = max(k.budgetUsedUntil, now) + time.Duration(size)*time.Second/bytesPerSecond
	k.metrics.asks.Inc(1)
	k.metrics.sentBytes.Inc(int64(size))
	if err := k.cfg.Transport.Send(courier.KindQuotaAsk, k.ask.to, payload); err != nil {
		k.cfg.Log.Debug().Err(err).Stringer("to", k.ask.to).Msg("Message not sent.")
	}
}

// abandon gives the ask up. It may have been handled: what was spent is reported again, so that
// it may count twice, and what was returned is not.
func (k *Keeper) abandon(now time.Duration) {
	k.metrics.abandoned.Inc(1)
	k.ask.open = false
	for _, a := range k.ask.accounts {
		a.spent += a.pending.Spent
		a.asked, a.pending = 0, nil
		k.due[a] = true
	}
	k.grantor = netip.AddrPort{}
	k.fail(now)
}

// fail notes that nobody answers, and decides on the requests that wait.
func (k *Keeper) fail(now time.Duration) {
	if !k.ask.failing {
		k.ask.failing, k.ask.unanswered = true, now
	}
	if !k.outage && now-k.ask.unanswered >= abandonAfter {
		k.outage = true
		k.logs.Limit(k.cfg.Log.Warn()).Uint64("tenure", k.tenure).Float64("lease-age-ms", milliseconds(now-k.contact.sentAt)).
			Bool("lease-valid", k.leaseValid(now)).Msg("No control instance grants quotas, requests are taken from leases.")
	}
	for _, a := range k.accounts {
		a.serveWaiters(func() Ticket { return k.spend(a, now) })
		a.refuseWaiters()
	}
}
