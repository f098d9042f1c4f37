package admitter

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playAccounts plays organisations that each ask for one request of 100 ms a second for a minute,
// and then one of them for more, of which some are started. It returns the excess of the loud
// one and of another one.
func playAccounts(loudness, loudStarted int) (loud, quiet float64) {
	const work = 100 * ms
	names := []string{"loud", "a", "b", "c", "d", "e", "f", "g"}
	var s accounts
	now := time.Now()
	for second := range 80 {
		now = now.Add(time.Second)
		for _, name := range names {
			requests, started := 1, 1
			if name == "loud" && second >= 60 {
				requests, started = loudness, loudStarted
			}
			for n := range requests {
				req := Request{Organisation: name}
				s.ask(req, work, now)
				if n < started {
					s.start(req, work, now)
				}
			}
		}
	}
	s.beginPlan()
	for _, name := range []string{"loud", "a"} {
		s.wait(s.account(name, now), work)
	}
	return s.excess(s.account("loud", now), work, now), s.excess(s.account("a", now), work, now)
}

func TestLoudOrganisationIsAboveItsShare(t *testing.T) {
	loud, quiet := playAccounts(8, 8)
	assert.Assert(t, loud > 2, "%v", loud)
	assert.Equal(t, quiet, 1.0)
}

// TestLoudOrganisationIsNotStarved checks that an organisation that is served much less often than
// all is protected, although it asks for much more than usual.
func TestLoudOrganisationIsNotStarved(t *testing.T) {
	loud, quiet := playAccounts(40, 2)
	assert.Assert(t, loud < 1, "%v", loud)
	assert.Equal(t, quiet, 1.0)
}

func TestUsualLoadIsWithinTheShare(t *testing.T) {
	loud, quiet := playAccounts(1, 1)
	assert.Equal(t, loud, 1.0)
	assert.Equal(t, quiet, 1.0)
}

// TestAccountsAreBounded checks that accounts of organisations that ask no more are dropped.
func TestAccountsAreBounded(t *testing.T) {
	var s accounts
	now := time.Now()
	for i := range 3 * maxAccounts {
		s.ask(Request{Organisation: organisationName(i)}, 100*ms, now.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, len(s.byName), maxAccounts)
	usual := 0.0
	for _, a := range s.byName {
		usual += a.usual
	}
	assert.Assert(t, s.all.usual > 0.99*usual && s.all.usual < 1.01*usual)
}

// TestLongNameHasNoAccount guards against names that fill the memory.
func TestLongNameHasNoAccount(t *testing.T) {
	var s accounts
	s.ask(Request{Organisation: strings.Repeat("x", maxAccountName+1)}, 100*ms, time.Now())
	assert.Equal(t, len(s.byName), 0)
}
