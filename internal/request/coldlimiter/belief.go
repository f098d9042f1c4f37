package coldlimiter

import "time"

// belief is what is known of an upstream's cold start. The zero value stands for an upstream
// that has said nothing and is not in doubt.
type belief struct {
	cause      Cause     // Of the doubt or the cold start, also after it ended.
	doubtSince time.Time // Zero if there is no doubt.
	coldUntil  time.Time // By the statements.
	statedAt   time.Time // When the last statement was made, as far as that is known.
	warmAt     time.Time // When a response last showed that the upstream was warm.
	// respondedAt is when the request was sent whose response said something last.
	respondedAt time.Time
}

// cold reports whether the upstream counts as cold.
func (b *belief) cold(now time.Time) bool { return b.inDoubt() || now.Before(b.coldUntil) }

// inDoubt reports whether the upstream may have restarted since its last statement.
func (b *belief) inDoubt() bool { return !b.doubtSince.IsZero() }

// doubt begins a doubt, or extends one until now.
func (b *belief) doubt(cause Cause, now time.Time) {
	b.cause = cause
	b.doubtSince = now
}

// expired reports whether the last statement is too old to rely on and no doubt has begun.
func (b *belief) expired(now time.Time) bool {
	return !b.inDoubt() && now.Sub(b.statedAt) > statementMaxAge
}

// expectedDoubt returns for how much longer a doubt is expected to last: for as long again, since it
// takes longer only if the upstream does not respond.
func (b *belief) expectedDoubt(now time.Time) time.Duration {
	return max(now.Sub(b.doubtSince), minDoubt)
}

// endDoubtAfter ends a doubt that is older than a cold start.
func (b *belief) endDoubtAfter(coldStart time.Duration, now time.Time) {
	if b.inDoubt() && now.Sub(b.doubtSince) >= coldStart {
		b.doubtSince = time.Time{}
	}
}

// observeHeartbeat records a heartbeat that was received now. As it may have been sent before
// the upstream restarted, it shortens no cold start and ends no young doubt.
func (b *belief) observeHeartbeat(remaining time.Duration, now time.Time) {
	b.extend(remaining, now)
	if b.inDoubt() && now.Sub(b.doubtSince) < heartbeatMaxDelay {
		return
	}
	b.doubtSince = time.Time{}
	b.statedAt = now
}

// observeResponse records a response that was received now. One to a request that was sent
// before a doubt or before the last statement only extends the cold start.
func (b *belief) observeResponse(r Response, now time.Time) {
	if r.SentAt.Before(b.doubtSince) || r.SentAt.Before(b.statedAt) {
		b.extend(r.Remaining, now)
		return
	}
	b.doubtSince = time.Time{}
	b.statedAt = r.SentAt
	b.respondedAt = r.SentAt
	if !r.Implied {
		b.coldUntil = time.Time{}
	}
	b.extend(r.Remaining, now)
	if !now.Before(b.coldUntil) {
		b.warmAt = r.SentAt
	}
}

// extend records that the upstream is cold for the remaining time from now.
func (b *belief) extend(remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		return
	}
	if until := now.Add(remaining); until.After(b.coldUntil) {
		b.coldUntil = until
	}
	if !b.inDoubt() {
		b.cause = CauseStated
	}
}
