package grantor

import (
	"math"
	"time"
)

// roundingTolerance is the amount by which rounding may change a level or a sum of rates.
const roundingTolerance = 1e-6

// pool is the token bucket of one organisation.
type pool struct {
	limit    Limit
	capacity float64
	level    float64
	at       time.Duration // Time of level.
	// leased is the sum of the rates of leases, silent that of the silent nodes among them, and
	// wished that of the rates that nodes want.
	leased, silent, wished float64
}

// setLimit sets the limit. What exceeds it is gone at once.
func (p *pool) setLimit(limit Limit, cfg Config) {
	p.limit = limit
	p.capacity = limit.Burst + levelShare*cfg.Overage*limit.Rate*cfg.Window.Seconds() + slackShare*cfg.Slack
	p.capacity = max(p.capacity, 1)
	p.level = min(p.level, p.capacity)
}

// advance adds what has accrued.
func (p *pool) advance(now time.Duration, accrual float64) {
	p.add(accrual * (now - p.at).Seconds())
	p.at = now
}

// add adds tokens. What exceeds the capacity is lost.
func (p *pool) add(tokens float64) { p.level = min(p.level+tokens, p.capacity) }

// take takes up to the wanted number of tokens.
func (p *pool) take(wanted int) int {
	tokens := min(wanted, max(int(math.Floor(p.level+roundingTolerance)), 0))
	p.level -= float64(tokens)
	return tokens
}

// wait returns the time until there is a token.
func (p *pool) wait(accrual float64) time.Duration {
	missing := 1 - p.level
	if missing <= 0 {
		return 0
	}
	if missing >= accrual*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / accrual * float64(time.Second))
}

// idle reports whether the pool is as a new one would be.
func (p *pool) idle() bool {
	return p.leased <= roundingTolerance && p.wished <= roundingTolerance && p.level >= p.capacity-roundingTolerance
}
