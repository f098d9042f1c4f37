package coldlimiter

import "time"

// coldState is what is known of an upstream's cold start. The zero value stands for an upstream
// that has said nothing and is not in doubt.
type coldState struct {
	cause      Cause     // Of the doubt or the cold start, also after it ended.
	doubtSince time.Time // Zero if there is no doubt.
	coldUntil  time.Time // By the statements.
	statedAt   time.Time // When the last statement was made, as far as that is known.
	warmAt     time.Time // When a response last showed that the upstream was warm.
	// respondedAt is when the request was sent whose response said something last.
	respondedAt time.Time
}

// cold reports whether the upstream counts as cold.
func (s *coldState) cold(now time.Time) bool { return s.inDoubt() || now.Before(s.coldUntil) }

// inDoubt reports whether the upstream may have restarted since its last statement.
func (s *coldState) inDoubt() bool { return !s.doubtSince.IsZero() }

// doubt begins a doubt, or extends one until now.
func (s *coldState) doubt(cause Cause, now time.Time) {
	s.cause = cause
	s.doubtSince = now
}

// expired reports whether the last statement is too old to rely on and no doubt has begun.
func (s *coldState) expired(now time.Time) bool {
	return !s.inDoubt() && now.Sub(s.statedAt) > statementMaxAge
}

// expectedDoubt returns for how much longer a doubt is expected to last: for as long again, since it
// takes longer only if the upstream does not respond.
func (s *coldState) expectedDoubt(now time.Time) time.Duration {
	return max(now.Sub(s.doubtSince), minDoubt)
}

// endDoubtAfter ends a doubt that is older than a cold start.
func (s *coldState) endDoubtAfter(coldStart time.Duration, now time.Time) {
	if s.inDoubt() && now.Sub(s.doubtSince) >= coldStart {
		s.doubtSince = time.Time{}
	}
}

// observeHeartbeat records a heartbeat that was received now. As it may have been sent before
// the upstream restarted, it shortens no cold start and ends no young doubt.
func (s *coldState) observeHeartbeat(remaining time.Duration, now time.Time) {
	s.extend(remaining, now)
	if s.inDoubt() && now.Sub(s.doubtSince) < heartbeatMaxDelay {
		return
	}
	s.doubtSince = time.Time{}
	s.statedAt = now
}

// observeResponse records a response that was received now. One to a request that was sent
// before a doubt or before the last statement only extends the cold start.
func (s *coldState) observeResponse(r Response, now time.Time) {
	if r.SentAt.Before(s.doubtSince) || r.SentAt.Before(s.statedAt) {
		s.extend(r.Remaining, now)
		return
	}
	s.doubtSince = time.Time{}
	s.statedAt = r.SentAt
	s.respondedAt = r.SentAt
	if !r.Implied {
		s.coldUntil = time.Time{}
	}
	s.extend(r.Remaining, now)
	if !now.Before(s.coldUntil) {
		s.warmAt = r.SentAt
	}
}

// extend records that the upstream is cold for the remaining time from now.
func (s *coldState) extend(remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		return
	}
	if until := now.Add(remaining); until.After(s.coldUntil) {
		s.coldUntil = until
	}
	if !s.inDoubt() {
		s.cause = CauseStated
	}
}
