package emulator

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// behaviorKind is one way in which an upstream may misbehave.
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
	behaviorLie           behaviorKind = "lie"
	behaviorDrain         behaviorKind = "drain"
	// behaviorLieUnhealthy works, but the health endpoint says otherwise.
	behaviorLieUnhealthy behaviorKind = "lie-unhealthy"
	// behaviorStallHealth works, but the health endpoint does not answer.
	behaviorStallHealth behaviorKind = "stall-health"
)

var behaviorKinds = map[behaviorKind]bool{
	behaviorNormal: true, behaviorSlow: true, behaviorFailFast: true, behaviorShed: true,
	behaviorFailAfterWork: true, behaviorTruncate: true, behaviorStall: true,
	behaviorFreeze: true, behaviorLie: true, behaviorDrain: true,
	behaviorLieUnhealthy: true, behaviorStallHealth: true,
}

// errBehavior reports a behavior that the emulator does not have.
var errBehavior = errors.New("unrecognized behavior")

// behavior is a way to behave until a point in time.
type behavior struct {
	kind   behaviorKind
	factor float64
	since  time.Time
	until  time.Time // Zero for ever.
}

func parseBehavior(kind, factor, length string, now time.Time) (*behavior, error) {
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
	if length != "" {
		d, err := time.ParseDuration(length)
		if err != nil {
			return nil, errors.Wrap(err, "length")
		}
		b.until = now.Add(d)
	}
	return b, nil
}

// current returns the behavior at the given time: normal before it began and
// once it has ended.
func (b *behavior) current(now time.Time) behavior {
	if now.Before(b.since) || !b.until.IsZero() && now.After(b.until) {
		return behavior{kind: behaviorNormal}
	}
	return *b
}
