package emulator

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// behaviorKind is a kind of misbehavior, as named by the behavior endpoint.
type behaviorKind string

const (
	behaviorNormal        behaviorKind = "normal"
	behaviorSlow          behaviorKind = "slow"
	behaviorFailFast      behaviorKind = "fail-fast"
	behaviorShed          behaviorKind = "shed"
	behaviorFailAfterWork behaviorKind = "fail-after-work"
	behaviorTruncate      behaviorKind = "truncate"
	behaviorStall         behaviorKind = "stall"
	behaviorFreeze        behaviorKind = "freeze"
	// behaviorLie serves requests, but the load endpoint reports 0.
	behaviorLie behaviorKind = "lie"
	// behaviorDrain says in each response that the upstream drains.
	behaviorDrain behaviorKind = "drain"
	// behaviorLimit advertises a rate limit in each response: the factor, in requests a second.
	behaviorLimit behaviorKind = "limit"
	// behaviorCold makes the upstream cold: it takes longer, says so in each response, and
	// crashes well above the factor, in requests a second.
	behaviorCold behaviorKind = "cold"
	// behaviorLieUnhealthy serves requests, but the health endpoint reports unavailable.
	behaviorLieUnhealthy behaviorKind = "lie-unhealthy"
	// behaviorStallHealth serves requests, but the health endpoint never responds.
	behaviorStallHealth behaviorKind = "stall-health"
)

var behaviorKinds = map[behaviorKind]bool{
	behaviorNormal: true, behaviorSlow: true, behaviorFailFast: true, behaviorShed: true,
	behaviorFailAfterWork: true, behaviorTruncate: true, behaviorStall: true,
	behaviorFreeze: true, behaviorLie: true, behaviorDrain: true, behaviorLimit: true, behaviorCold: true,
	behaviorLieUnhealthy: true, behaviorStallHealth: true,
}

// errBehavior reports an unknown kind of behavior.
var errBehavior = errors.New("unrecognized behavior")

// behavior is a kind of misbehavior that is in effect for a time.
type behavior struct {
	kind   behaviorKind
	factor float64 // Multiplies the service time of behaviorSlow; the rate of behaviorLimit and behaviorCold.
	since  time.Time
	until  time.Time // Zero: no end.
}

// parseBehavior parses the form values of the behavior endpoint. The behavior
// starts at now; an empty factor means 1, and an empty duration means no end.
func parseBehavior(kind, factor, duration string, now time.Time) (*behavior, error) {
	b := &behavior{kind: behaviorKind(kind), factor: 1, since: now}
	if !behaviorKinds[b.kind] {
		return nil, errors.Wrapf(errBehavior, "%q", kind)
	}
	if factor != "" {
		f, err := strconv.ParseFloat(factor, 64)
		if err != nil {
			return nil, errors.Wrap(err, "factor")
		}
		b.factor = f
	}
	if duration != "" {
		d, err := time.ParseDuration(duration)
		if err != nil {
			return nil, errors.Wrap(err, "length")
		}
		b.until = now.Add(d)
	}
	return b, nil
}

// current returns the behavior in effect at the given time: normal before b
// starts and after it ends.
func (b *behavior) current(now time.Time) behavior {
	if now.Before(b.since) || !b.until.IsZero() && now.After(b.until) {
		return behavior{kind: behaviorNormal}
	}
	return *b
}
