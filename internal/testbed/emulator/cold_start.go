package emulator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// coldStart is a time during which the upstream bears few requests.
type coldStart struct {
	perSecond float64 // 0 if it bears any number.
	remaining time.Duration
	// checkedFrom is the time from which requests beyond the rate are counted.
	checkedFrom time.Time
}

// active reports whether the upstream bears few requests.
func (c coldStart) active() bool { return c.perSecond > 0 && c.remaining > 0 }

// coldStart returns the cold start in effect: that of the behavior, which comes unannounced, or
// that after the start.
func (e *Emulator) coldStart(b behavior, now time.Time) coldStart {
	if b.kind == behaviorCold {
		return coldStart{perSecond: b.factor, remaining: b.until.Sub(now), checkedFrom: b.since.Add(coldSpread)}
	}
	started := *e.started.Load()
	return coldStart{perSecond: e.spec.ColdRate, remaining: e.spec.ColdStart - now.Sub(started), checkedFrom: started}
}

// stateCold adds the remaining time of the cold start to the header of a response.
func (e *Emulator) stateCold(h http.Header, b behavior) {
	if c := e.coldStart(b, time.Now()); c.active() {
		h.Set(classifier.HeaderColdMS, strconv.FormatInt(c.remaining.Milliseconds()+1, 10))
	}
}
