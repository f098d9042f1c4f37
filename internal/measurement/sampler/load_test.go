package sampler

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestLoadRoundTrip checks that ParseLoad reads what String writes.
func TestLoadRoundTrip(t *testing.T) {
	l := NewLoad(LoadSpec{InFlight: 3, Queued: 1, Limit: 6, Latency: 1200*time.Microsecond + 7, WarmPercent: 40, FailurePercent: 2})
	assert.Equal(t, l.String(), "in-flight=3;queued=1;limit=6;latency-us=1200;warm-percent=40;failure-percent=2")
	assert.Assert(t, l.Warming())
	parsed, err := ParseLoad(l.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, l)
}

func TestRateLimitRoundTrip(t *testing.T) {
	l := NewLoad(LoadSpec{Limit: 6, WarmPercent: 100, Rate: RateLimit{PerSecond: 5.8, Age: 1200 * time.Microsecond, Wait: 1200 * time.Microsecond}})
	const text = "in-flight=0;queued=0;limit=6;latency-us=0;warm-percent=100;failure-percent=0;rate-limit=5.8;rate-age-ms=1;rate-left=0;rate-wait-ms=2"
	assert.Equal(t, l.String(), text)
	parsed, err := ParseLoad(text)
	assert.NilError(t, err)
	assert.Equal(t, parsed, l)
	for _, s := range []string{"rate-limit=5.8", "rate-limit=NaN", "rate-limit=-1", "rate-limit=1e400", "rate-left=1"} {
		_, err := ParseLoad(strings.Replace(text, "rate-limit=5.8", s, 1))
		assert.Equal(t, err == nil, s == "rate-limit=5.8", "%s: %v", s, err)
	}
}

func TestParseLoadRejectsMalformedText(t *testing.T) {
	valid := NewLoad(LoadSpec{Limit: 6, WarmPercent: 100}).String()
	for _, s := range []string{
		"", "in-flight=1", valid + ";", valid + ";x=1", " " + valid, strings.Repeat("0", 129),
		strings.Replace(valid, "limit=6", "limit=-6", 1),
		strings.Replace(valid, "limit=6", "limit=06", 1),
		strings.Replace(valid, "limit=6", "limit=4000000000", 1),
		strings.Replace(valid, "=100;", "=101;", 1),
		strings.Replace(valid, "queued", "in-flight", 1),
	} {
		_, err := ParseLoad(s)
		assert.Assert(t, errors.Is(err, ErrMalformedLoad), "%q", s)
	}
}

// FuzzParseLoad checks that ParseLoad accepts only text that String writes.
func FuzzParseLoad(f *testing.F) {
	f.Add("in-flight=3;queued=1;limit=6;latency-us=1200;warm-percent=40;failure-percent=2")
	f.Add("in-flight=0;queued=0;limit=6;latency-us=0;warm-percent=100;failure-percent=0;rate-limit=5.8;rate-age-ms=1;rate-left=0;rate-wait-ms=2")
	f.Add("in-flight=;queued=;limit=;latency-us=;warm-percent=;failure-percent=")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := ParseLoad(s)
		if err == nil {
			assert.Equal(t, l.String(), s)
		}
	})
}
