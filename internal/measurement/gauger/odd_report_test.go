package gauger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOddReportIsMalformed guards against a reported load whose numbers overflow what is computed from them.
func TestOddReportIsMalformed(t *testing.T) {
	const sound = "running=3;waiting=0;slots=8;slowness-percent=500"
	report, err := ParseReport(sound)
	assert.NilError(t, err)
	assert.Equal(t, report.String(), sound)
	for name, text := range map[string]string{
		"negative running":  "running=-3;waiting=0;slots=8;slowness-percent=500",
		"negative waiting":  "running=3;waiting=-1;slots=8;slowness-percent=500",
		"negative slots":    "running=3;waiting=0;slots=-8;slowness-percent=500",
		"a billion slots":   "running=3;waiting=0;slots=1000000000;slowness-percent=500",
		"negative slowness": "running=3;waiting=0;slots=8;slowness-percent=-500",
		"greatest slowness": "running=3;waiting=0;slots=8;slowness-percent=9223372036854775807",
		"beyond integers":   "running=3;waiting=0;slots=8;slowness-percent=9223372036854775808",
		"text after it":     sound + "0x",
		"fraction":          "running=3;waiting=0;slots=8;slowness-percent=1.5",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseReport(text)
			assert.ErrorIs(t, err, ErrMalformedReport)
		})
	}
}
