package announcer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

const testColdStart = 5 * time.Second

// announcedStates runs a scenario on a fake clock and returns the states announced in it.
func announcedStates(t *testing.T, scenario func(a *Announcer)) []string {
	t.Helper()
	var states []string
	synctest.Test(t, func(*testing.T) {
		a := New(Config{
			Announce:  func(s registrar.State) { states = append(states, s.String()) },
			ColdStart: func() time.Duration { return testColdStart },
		})
		scenario(a)
		time.Sleep(2 * testColdStart)
	})
	return states
}

func TestAnnouncer(t *testing.T) {
	for name, tc := range map[string]struct {
		scenario func(a *Announcer)
		want     []string
	}{
		"not configured": {func(*Announcer) {}, nil},
		"configured":     {func(a *Announcer) { a.SetConfigured() }, []string{"warming", "ready"}},
		"configured twice": {
			func(a *Announcer) { a.SetConfigured(); a.SetConfigured() },
			[]string{"warming", "ready"},
		},
		"upstream gone while warming": {
			func(a *Announcer) { a.SetConfigured(); time.Sleep(time.Second); a.SetAvailable(false) },
			[]string{"warming", "leaving"},
		},
		"upstream gone and back, warms again": {
			func(a *Announcer) {
				a.SetConfigured()
				time.Sleep(2 * testColdStart)
				a.SetAvailable(false)
				a.SetAvailable(true)
			},
			[]string{"warming", "ready", "leaving", "warming", "ready"},
		},
		"upstream gone before configured": {
			func(a *Announcer) { a.SetAvailable(false); a.SetConfigured(); a.SetAvailable(true) },
			[]string{"leaving", "warming", "ready"},
		},
		"leaving before configured": {func(a *Announcer) { a.Leave(); a.SetConfigured() }, []string{"leaving"}},
		"leaving is final": {
			func(a *Announcer) {
				a.SetConfigured()
				a.Leave()
				a.SetAvailable(false)
				a.SetAvailable(true)
				a.SetConfigured()
			},
			[]string{"warming", "leaving"},
		},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, announcedStates(t, tc.scenario), tc.want) })
	}
}
