package coldlimiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStatusString(t *testing.T) {
	for want, status := range map[string]Status{
		"":                  {},
		"node-started":      {Cold: true, Cause: CauseNodeStarted},
		"stated, 1.5s left": {Cold: true, Cause: CauseStated, Remaining: 1500 * time.Millisecond},
	} {
		t.Run(want, func(t *testing.T) { assert.Equal(t, status.String(), want) })
	}
}
