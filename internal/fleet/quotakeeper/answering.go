package quotakeeper

import (
	"net/netip"
	"time"

	"github.com/banyanscale/banyanscale/internal/agreement/grantor"
)

// receive handles one datagram.
func (k *Keeper) receive(from netip.AddrPort, payload []byte) {
	decoded, err := grantor.DecodeToNode(payload)
	if err != nil {
		k.metrics.malformed.Inc(1)
		k.cfg.Log.Debug().Err(err).Stringer("from", from).Msg("Message ignored.")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	switch m := decoded.(type) {
	case grantor.Answer:
		k.answered(from, m, now)
	case grantor.Redirect:
		k.redirected(m, now)
	case grantor.Greeting:
		k.greeted(from, m, now)
	}
}

// answered takes what an answer to the ask under way grants. An answer that comes
// abandonAfter or more after the ask is ignored: the tenure of its sender may have ended.
func (k *Keeper) answered(from netip.AddrPort, m grantor.Answer, now time.Duration) {
	if !k.ask.open || m.Seq != k.ask.seq || len(m.Grants) != len(k.ask.accounts) || now-k.ask.firstAt >= abandonAfter {
		return
	}
	k.ask.open, k.ask.failing = false, false
	k.contact = contact{
		sentAt: k.ask.firstAt, interval: m.Interval, validity: m.Validity, lease: m.Lease,
		roundTrip: now - k.ask.firstAt, known: true,
	}
	if k.outage {
		k.outage = false
		k.logs.Limit(k.cfg.Log.Info()).Uint64("tenure", m.Tenure).Stringer("from", from).Msg("A control instance grants quotas again.")
	}
	k.grantor = from
	for i, g := range m.Grants {
		k.granted(k.ask.accounts[i], g, m.Tenure, now)
	}
	if m.Tenure == k.ask.message.Tenure {
		k.complete = k.complete || k.ask.message.Complete
		k.report = k.report && !k.ask.message.Complete
	}
	k.setTenure(m.Tenure)
	k.wakeUp()
}

// granted takes what was granted for one organisation.
func (k *Keeper) granted(a *account, g grantor.Grant, tenure uint64, now time.Duration) {
	wanted := a.pending.Wanted
	a.reportedRate, a.reportedWish, a.reportedAt = a.pending.Held, a.pending.Wish, now
	a.asked, a.pending = 0, nil
	k.setRate(a, g.Rate)
	a.reported = tenure
	if a.rate < a.reportedRate {
		k.due[a] = true
	}
	a.tokens.add(g.Tokens, k.ask.firstAt+k.contact.validity)
	a.serveWaiters(func() Ticket { return k.spend(a, now) })
	if g.Tokens >= wanted {
		if len(a.waiters) > 0 {
			k.due[a], k.urgent = true, true // They came after the ask was sent.
		}
		return
	}
	a.roomAt = now + g.Wait
	a.refusedUntil = now + min(max(g.Wait, minBackOff), maxBackOff)
	a.refuseWaiters()
}

// setRate sets the rate of a lease.
func (k *Keeper) setRate(a *account, rate float64) {
	if a.rate > 0 {
		k.leases--
	}
	if a.rate = rate; rate > 0 {
		k.leases++
	}
}

// redirected sends the ask under way to the instance that grants.
func (k *Keeper) redirected(m grantor.Redirect, now time.Duration) {
	if !k.ask.open || m.Seq != k.ask.seq {
		return
	}
	k.grantor = m.Grantor
	if k.ask.redirects >= maxRedirects {
		k.grantor = netip.AddrPort{}
	}
	to := k.destination()
	if !to.IsValid() {
		return
	}
	k.ask.to = to
	if k.ask.redirects < maxRedirects { // Else it is asked at the next time to send.
		k.ask.redirects++
		k.transmit(now)
	}
}

// greeted reports the leases to a new grantor.
func (k *Keeper) greeted(from netip.AddrPort, m grantor.Greeting, now time.Duration) {
	k.grantor = from
	k.setTenure(m.Tenure)
	k.report = true
	if k.ask.open && k.ask.to != from {
		k.ask.to = from
		k.transmit(now)
	}
	k.wakeUp()
}

// setTenure notes who grants. A new grantor does not know the leases.
func (k *Keeper) setTenure(tenure uint64) {
	if k.tenure == tenure {
		return
	}
	k.tenure, k.complete, k.report = tenure, false, true
}
