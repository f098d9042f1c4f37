package admitter

import (
	"math"
	"time"
)

const (
	// recentPeriod is the time over which work counts as recent.
	recentPeriod = 10 * time.Second
	// usualRisePeriod is the time in which what is usual for an organisation may double, and
	// usualFallPeriod the time constant with which it falls. A rise that lasts becomes usual.
	usualRisePeriod = time.Minute
	usualFallPeriod = 2 * time.Minute
	// freeRequests is the number of requests of recentPeriod that never put an organisation
	// above its share, since so few say nothing about what is usual for it.
	freeRequests = 2
	// excessTolerance is how many times its share an organisation may get before it is left
	// out for that.
	excessTolerance = 1.5
	// protectedShare is the share of the mean of all below which the rate at which an
	// organisation is served protects its requests. Callers are promised a quarter.
	protectedShare = 0.33
	// minExcess is the least excess of a protected organisation.
	minExcess = 0.01
	// maxAccounts bounds the number of accounts.
	maxAccounts = 1024
	// maxAccountName bounds the name of an account, in bytes.
	maxAccountName = 1024
)

// decayingSum is a sum in which each value fades with a time constant.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (s *decayingSum) value(now time.Time, period time.Duration) float64 {
	return s.sum * math.Exp(-float64(now.Sub(s.at))/float64(period))
}

func (s *decayingSum) add(v float64, now time.Time, period time.Duration) {
	s.sum = s.value(now, period) + v
	s.at = now
}

// account holds what an organisation asks and gets, as work in seconds.
type account struct {
	asked   decayingSum // In recentPeriod.
	started decayingSum // In recentPeriod.
	// usual is what it usually asks in recentPeriod, at usualAt.
	usual             float64
	usualAt, firstAsk time.Time
	lastUsed          time.Time
	// waiting is what waits in the plan with the given number, excess the excess of the
	// organisation there, or 0 before it is known.
	waiting, excess float64
	plan            uint64
}

// ask records work that was asked, and returns by how much the usual work changed.
func (a *account) ask(work float64, began, now time.Time) float64 {
	a.asked.add(work, now, recentPeriod)
	if a.firstAsk.IsZero() {
		a.firstAsk, a.usualAt = now, now
	}
	before, passed := a.usual, now.Sub(a.usualAt)
	a.usualAt = now
	asked := a.asked.sum
	switch {
	case now.Sub(a.firstAsk) < recentPeriod: // Nothing is usual yet.
		seen := max(now.Sub(began), time.Second)
		a.usual = asked / (1 - math.Exp(-float64(seen)/float64(recentPeriod)))
	case asked > a.usual:
		a.usual = min(asked, a.usual*math.Exp2(float64(passed)/float64(usualRisePeriod)))
	default:
		a.usual += (asked - a.usual) * (1 - math.Exp(-float64(passed)/float64(usualFallPeriod)))
	}
	return a.usual - before
}

// accounts divide the slots between organisations. They answer a load in which one asks for many
// times its usual work, beyond capacity: its own requests are then refused first. No slots are
// reserved: the share of an idle organisation is free for the others.
type accounts struct {
	began  time.Time
	byName map[string]*account
	all    account
	plan   uint64 // The number of the current plan.
}

// account returns the account of an organisation, or nil for none.
func (s *accounts) account(name string, now time.Time) *account {
	if name == "" || len(name) > maxAccountName {
		return nil
	}
	a := s.byName[name]
	if a == nil {
		if s.byName == nil {
			s.byName, s.began = make(map[string]*account), now
		}
		s.removeOldest()
		a = &account{}
		s.byName[name] = a
	}
	a.lastUsed = now
	return a
}

// removeOldest removes the account that was used longest ago if there are too many.
func (s *accounts) removeOldest() {
	if len(s.byName) < maxAccounts {
		return
	}
	oldest := ""
	for name, a := range s.byName {
		if oldest == "" || a.lastUsed.Before(s.byName[oldest].lastUsed) {
			oldest = name
		}
	}
	s.all.usual -= s.byName[oldest].usual
	delete(s.byName, oldest)
}

// ask records that a request with the given work arrived. A repeated attempt is not counted,
// since another instance has counted the first.
func (s *accounts) ask(req Request, work time.Duration, now time.Time) {
	a := s.account(req.Organisation, now)
	if a == nil || req.Retried {
		return
	}
	s.all.asked.add(work.Seconds(), now, recentPeriod)
	s.all.usual += a.ask(work.Seconds(), s.began, now)
}

// start records that a request with the given work started.
func (s *accounts) start(req Request, work time.Duration, now time.Time) {
	a := s.account(req.Organisation, now)
	if a == nil {
		return
	}
	a.started.add(work.Seconds(), now, recentPeriod)
	s.all.started.add(work.Seconds(), now, recentPeriod)
}

// beginPlan begins a plan, in which nothing waits yet.
func (s *accounts) beginPlan() {
	s.plan++
	s.all.waiting = 0
}

// wait adds to the work of an organisation that waits in the current plan. The account is nil for
// a request without one.
func (s *accounts) wait(a *account, work time.Duration) {
	if a == nil {
		return
	}
	if a.plan != s.plan {
		a.plan, a.waiting, a.excess = s.plan, 0, 0
	}
	a.waiting += work.Seconds()
	s.all.waiting += work.Seconds()
}

// excess returns how many times its share an organisation in the current plan has, 1 within
// tolerance. It is below 1 if the organisation is served so much less often than all that it is
// protected. work is that of one of its requests.
func (s *accounts) excess(a *account, work time.Duration, now time.Time) float64 {
	if a == nil || a.plan != s.plan {
		return 1
	}
	if a.excess == 0 {
		a.excess = s.computeExcess(a, freeRequests*work.Seconds(), now)
	}
	return a.excess
}

func (s *accounts) computeExcess(a *account, least float64, now time.Time) float64 {
	if served, mean := a.servedShare(now), s.all.servedShare(now); served < protectedShare*mean {
		return max(served/mean, minExcess)
	}
	excess := a.load(least, now) / s.all.load(least, now)
	if excess <= excessTolerance {
		return 1
	}
	return excess
}

// servedShare returns the part that started of the recent work that was asked, 1 if none was.
func (a *account) servedShare(now time.Time) float64 {
	asked := a.asked.value(now, recentPeriod)
	if asked <= 0 {
		return 1
	}
	return min(a.started.value(now, recentPeriod)/asked, 1)
}

// load returns the recent and waiting work over what is usual, at least the given work.
func (a *account) load(least float64, now time.Time) float64 {
	return (a.started.value(now, recentPeriod) + a.waiting) / max(a.usual, least)
}
