package fieldchecker

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		fields http.Header
		valid  bool
	}{
		"none":               {nil, true},
		"usual":              {http.Header{"Content-Type": {"text/plain; charset=utf-8", ""}, "X_odd!": {"\t\x80"}}, true},
		"announced":          {http.Header{"Server-Load": nil}, true},
		"blank":              {http.Header{"X Odd": {"1"}}, false},
		"blank after":        {http.Header{"Transfer-Encoding ": {"chunked"}}, false},
		"empty":              {http.Header{"": {"1"}}, false},
		"control byte":       {http.Header{"X\x7f": {"1"}}, false},
		"control in value":   {http.Header{"X": {"1", "\x00"}}, false},
		"announced no field": {http.Header{"X Odd": nil}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := Check(c.fields)
			if c.valid {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
