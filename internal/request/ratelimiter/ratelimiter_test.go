package ratelimiter

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	for s, want := range map[string]float64{"5.8": 5.8, "0": 0, "12": 12} {
		t.Run(s, func(t *testing.T) {
			got, err := Parse(s)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
	for _, s := range []string{"", "-1", "NaN", "Inf", "5,8", "5.8/s", "1e999"} {
		t.Run("malformed "+s, func(t *testing.T) {
			_, err := Parse(s)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
