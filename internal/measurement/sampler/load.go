package sampler

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the fields of a Load. NewLoad clamps to them and ParseLoad rejects
// values outside, so that one wrong header cannot distort the choice of an
// instance.
const (
	maxCount           = 1 << 20
	maxLatency         = time.Hour
	fullPercent        = 100
	maxLoadBytes       = 256
	maxSlownessPercent = 60_000
	maxSlowdownLeft    = time.Minute
	maxLinkWait        = time.Minute
	maxRatePerSecond   = 1 << 20
	maxRateAge         = time.Minute
	maxRateWait        = time.Minute
)

// Keys of the optional fields, in their order: slownessKey is present if the
// slowness is not 100%, slowdownLeftKey if its end is known too, linkWaitKey if large
// responses wait for the link, and the others if the upstream advertises a rate limit.
const (
	slownessKey     = "slowness-percent"
	slowdownLeftKey = "spell-left-ms"
	linkWaitKey     = "link-wait-ms"
	rateLimitKey    = "rate-limit"
	rateAgeKey      = "rate-age-ms"
	rateLeftKey     = "rate-left"
	rateWaitKey     = "rate-wait-ms"
)

// LowOccupancyShare is the share of slots in use up to which the occupancy of an upstream
// is low: many upstreams slow down when nearly all slots are in use.
const LowOccupancyShare = 0.75

// ErrMalformedLoad means that text is not a load header value.
var ErrMalformedLoad = errors.New("malformed load")

// loadKeys lists the keys of a load header value in their order.
var loadKeys = [...]string{"in-flight", "queued", "limit", "latency-us", "warm-percent", "failure-percent"}

// LoadSpec lists the fields of a Load for NewLoad.
type LoadSpec struct {
	// InFlight is the number of requests that the upstream processes.
	InFlight int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Limit is the number of requests that the serving node lets the upstream
	// process concurrently.
	Limit int
	// Latency is the smoothed time until the upstream's response begins, without
	// the wait for a slot; 0 if none was measured yet.
	Latency time.Duration
	// WarmPercent is the progress of the upstream's cold start; 100 when complete.
	WarmPercent int
	// FailurePercent is the smoothed share of requests that the upstream failed.
	FailurePercent int
	// SlownessPercent is the current duration of work in percent of its duration at
	// full speed; 0 means 100.
	SlownessPercent int
	// SlowdownLeft is the time until the slowness may change; 0 if unknown.
	SlowdownLeft time.Duration
	// LinkWait is how long a large response would wait for the instance's link.
	LinkWait time.Duration
	// Rate is the rate limit that the upstream advertises; the zero value if it advertises none.
	Rate RateLimit
}

// Load is the load of one instance as counted by its serving node. It is
// immutable and comparable.
type Load struct{ spec LoadSpec }

// NewLoad returns the load that spec describes. It clamps each field to its bounds
// and truncates the latency to microseconds and the other times to milliseconds.
func NewLoad(spec LoadSpec) Load {
	spec.InFlight = clamp(spec.InFlight, maxCount)
	spec.Queued = clamp(spec.Queued, maxCount)
	spec.Limit = clamp(spec.Limit, maxCount)
	spec.WarmPercent = clamp(spec.WarmPercent, fullPercent)
	spec.FailurePercent = clamp(spec.FailurePercent, fullPercent)
	if spec.SlownessPercent <= 0 {
		spec.SlownessPercent = fullPercent
	}
	spec.SlownessPercent = clamp(spec.SlownessPercent, maxSlownessPercent)
	if spec.SlownessPercent == fullPercent {
		spec.SlowdownLeft = 0 // Meaningful only during a slowdown or speedup.
	}
	spec.SlowdownLeft = min(max(spec.SlowdownLeft, 0), maxSlowdownLeft).Truncate(time.Millisecond)
	spec.LinkWait = min(max(spec.LinkWait, 0), maxLinkWait).Truncate(time.Millisecond)
	spec.Latency = min(max(spec.Latency, 0), maxLatency).Truncate(time.Microsecond)
	spec.Rate = spec.Rate.clamped()
	return Load{spec: spec}
}

// ParseLoad parses text written by Load.String. It returns ErrMalformedLoad for any
// text that String would not write.
func ParseLoad(s string) (Load, error) {
	if len(s) > maxLoadBytes {
		return Load{}, errors.Wrapf(ErrMalformedLoad, "%d bytes", len(s))
	}
	fields := strings.Split(s, ";")
	if len(fields) < len(loadKeys) {
		return Load{}, errors.Wrapf(ErrMalformedLoad, "%q", s)
	}
	var values [len(loadKeys)]int
	for i, key := range loadKeys {
		value, ok := strings.CutPrefix(fields[i], key+"=")
		if !ok {
			return Load{}, errors.Wrapf(ErrMalformedLoad, "%q lacks %s", s, key)
		}
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return Load{}, errors.Wrapf(ErrMalformedLoad, "%q: invalid %s", s, key)
		}
		values[i] = int(n)
	}
	spec := LoadSpec{
		InFlight:       values[0],
		Queued:         values[1],
		Limit:          values[2],
		Latency:        time.Duration(values[3]) * time.Microsecond,
		WarmPercent:    values[4],
		FailurePercent: values[5],
	}
	for _, field := range fields[len(loadKeys):] {
		if err := spec.parseOptional(field); err != nil {
			return Load{}, errors.Wrapf(err, "%q", s)
		}
	}
	l := NewLoad(spec)
	if l.String() != s {
		return Load{}, errors.Wrapf(ErrMalformedLoad, "%q is out of bounds or not canonical", s)
	}
	return l, nil
}

// parseOptional sets the field that an optional field of a load header value holds. The
// order of the fields is not checked.
func (s *LoadSpec) parseOptional(field string) error {
	key, value, _ := strings.Cut(field, "=")
	if key == rateLimitKey {
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Wrapf(ErrMalformedLoad, "invalid %s", key)
		}
		s.Rate.PerSecond = perSecond
		return nil
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return errors.Wrapf(ErrMalformedLoad, "invalid %s", key)
	}
	switch key {
	case slownessKey:
		s.SlownessPercent = int(n)
	case slowdownLeftKey:
		s.SlowdownLeft = time.Duration(n) * time.Millisecond
	case linkWaitKey:
		s.LinkWait = time.Duration(n) * time.Millisecond
	case rateAgeKey:
		s.Rate.Age = time.Duration(n) * time.Millisecond
	case rateLeftKey:
		s.Rate.Left = int(n)
	case rateWaitKey:
		s.Rate.Wait = time.Duration(n) * time.Millisecond
	default:
		return errors.Wrapf(ErrMalformedLoad, "unrecognized %s", key)
	}
	return nil
}

// FailurePercent returns the smoothed share of requests that the upstream failed, from
// 0 to 100.
func (l Load) FailurePercent() int { return l.spec.FailurePercent }

// InFlight returns the number of requests that the upstream processes.
func (l Load) InFlight() int { return l.spec.InFlight }

// Latency returns the smoothed time until the upstream's response begins, without the
// wait for a slot, or 0 if none was measured yet.
func (l Load) Latency() time.Duration { return l.spec.Latency }

// Limit returns the number of requests that the upstream may process concurrently.
func (l Load) Limit() int { return l.spec.Limit }

// LinkWait returns how long a large response would wait for the instance's link.
func (l Load) LinkWait() time.Duration { return l.spec.LinkWait }

// Queued returns the number of requests that wait for a slot.
func (l Load) Queued() int { return l.spec.Queued }

// String returns the load as an ASCII header value, such as
// "in-flight=3;queued=0;limit=6;latency-us=1200;warm-percent=100;failure-percent=0".
func (l Load) String() string {
	text := fmt.Sprintf("in-flight=%d;queued=%d;limit=%d;latency-us=%d;warm-percent=%d;failure-percent=%d",
		l.spec.InFlight, l.spec.Queued, l.spec.Limit, l.spec.Latency.Microseconds(),
		l.spec.WarmPercent, l.spec.FailurePercent)
	if slowness := l.SlownessPercent(); slowness != fullPercent {
		text += optionalField(slownessKey, int64(slowness))
	}
	if l.spec.SlowdownLeft > 0 {
		text += optionalField(slowdownLeftKey, l.spec.SlowdownLeft.Milliseconds())
	}
	if l.spec.LinkWait > 0 {
		text += optionalField(linkWaitKey, l.spec.LinkWait.Milliseconds())
	}
	if rate := l.spec.Rate; rate.Limited() {
		text += ";" + rateLimitKey + "=" + strconv.FormatFloat(rate.PerSecond, 'f', -1, 64) +
			optionalField(rateAgeKey, rate.Age.Milliseconds()) +
			optionalField(rateLeftKey, int64(rate.Left)) +
			optionalField(rateWaitKey, rate.Wait.Milliseconds())
	}
	return text
}

// Rate returns the rate limit that the upstream advertises.
func (l Load) Rate() RateLimit { return l.spec.Rate }

// SlownessPercent returns the current duration of work in percent of its duration at
// full speed.
func (l Load) SlownessPercent() int {
	if l.spec.SlownessPercent == 0 {
		return fullPercent // The zero Load.
	}
	return l.spec.SlownessPercent
}

// SlowdownLeft returns the time until the slowness may change, or 0 if unknown.
func (l Load) SlowdownLeft() time.Duration { return l.spec.SlowdownLeft }

// WarmPercent returns the progress of the upstream's cold start, from 0 to 100.
func (l Load) WarmPercent() int { return l.spec.WarmPercent }

// Warming reports whether the upstream is still in its cold start.
func (l Load) Warming() bool { return l.spec.WarmPercent < fullPercent }

// optionalField returns an optional field of a load header value with its separator.
func optionalField(key string, value int64) string {
	return ";" + key + "=" + strconv.FormatInt(value, 10)
}

func clamp(n, limit int) int { return min(max(n, 0), limit) }
