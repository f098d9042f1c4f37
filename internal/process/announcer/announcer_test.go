package announcer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
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
		"configured":     {func(a *Announcer) { a.Configured() }, []string{"warming", "ready"}},
		"configured twice": {
			func(a *Announcer) { a.Configured(); a.Configured() },
			[]string{"warming", "ready"},
		},
		"upstream gone while warming": {
			func(a *Announcer) { a.Configured(); time.Sleep(time.Second); a.Available(false) },
			[]string{"warming", "leaving"},
		},
		"upstream gone and back, warms again": {
			func(a *Announcer) {
				a.Configured()
				time.Sleep(2 * testColdStart)
				a.Available(false)
				a.Available(true)
			},
			[]string{"warming", "ready", "leaving", "warming", "ready"},
		},
		"upstream gone before configured": {
			func(a *Announcer) { a.Available(false); a.Configured(); a.Available(true) },
			[]string{"leaving", "warming", "ready"},
		},
		"leaving before configured": {func(a *Announcer) { a.Leave(); a.Configured() }, []string{"leaving"}},
		"leaving is final": {
			func(a *Announcer) { a.Configured(); a.Leave(); a.Available(false); a.Available(true); a.Configured() },
			[]string{"warming", "leaving"},
		},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, announcedStates(t, tc.scenario), tc.want) })
	}
}
