package launcher

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// newDomainView returns a view with one instance of vitrina in each of the states, each with 6
// slots in a failure domain named after its state.
func newDomainView(states ...registrar.State) *registrar.View {
	var instances []*registrar.Instance
	for _, state := range states {
		instances = append(instances, registrar.NewInstance(registrar.Spec{
			ID: "vitrina-" + state.String(), Service: "vitrina", State: state, FailureDomain: state.String(), Slots: 6,
		}))
	}
	return registrar.NewView(instances)
}

// memoryJournal is a recordAppender in memory.
type memoryJournal struct{ records [][]byte }

func (j *memoryJournal) Records() [][]byte { return j.records }

func (j *memoryJournal) AppendUnsynced(records ...[]byte) error {
	j.records = append(j.records, records...)
	return nil
}

// seenIn returns the failure domains of a view, after a restart.
func seenIn(view *registrar.View) *seenDomains {
	journal := &memoryJournal{}
	newSeenDomains(journal, zerolog.Nop()).Observe(view)
	return newSeenDomains(journal, zerolog.Nop())
}

func TestUnknownFailureDomains(t *testing.T) {
	overlay := &controlwire.Document{Entries: []*controlwire.Entry{
		{Layer: "oaxaca", Section: "site", Key: "failure-domains", Value: "oax-centro, oax-istmo"},
	}}
	for name, tc := range map[string]struct {
		view    *registrar.View
		upFor   time.Duration
		domain  string
		unknown bool
	}{
		"ready member":            {newDomainView(registrar.StateReady), time.Hour, "ready", false},
		"seen before a restart":   {newDomainView(registrar.StateReady), time.Hour, "failed", false},
		"overlay":                 {newDomainView(registrar.StateReady), time.Hour, "oax-istmo", false},
		"typing error":            {newDomainView(registrar.StateReady), time.Hour, "oax-itsmo", true},
		"typing error at a start": {newDomainView(registrar.StateReady), time.Second, "oax-itsmo", false},
		"no node known":           {newDomainView(), time.Hour, "oax-itsmo", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newKnownFleet(func() *registrar.View { return tc.view }, seenIn(newDomainView(registrar.StateReady, registrar.StateFailed)))
				time.Sleep(tc.upFor)
				assert.Equal(t, f.Unknown(tc.domain, overlay), tc.unknown)
			})
		})
	}
}

// A proper order is not refused after more failure domains than are remembered.
func TestFailureDomainsOfMembersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal := &memoryJournal{}
		for i := range maxSeenDomains {
			journal.records = append(journal.records, []byte("former-"+strconv.Itoa(i)))
		}
		view := newDomainView(registrar.StateReady)
		seen := newSeenDomains(journal, zerolog.Nop())
		seen.Observe(view)
		f := newKnownFleet(func() *registrar.View { return view }, seen)
		time.Sleep(time.Hour)
		assert.Assert(t, !f.Unknown("ready", &controlwire.Document{}))
		assert.Assert(t, f.Unknown("raedy", &controlwire.Document{}))
	})
}

func TestCapacityLeavesOutWhatAcceptsNothing(t *testing.T) {
	view := newDomainView(registrar.StateReady, registrar.StateWarming, registrar.StateLeaving, registrar.StateFailed)
	f := newKnownFleet(func() *registrar.View { return view }, seenIn(view))
	all := f.Capacity(nil)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].GetSlots(), uint32(12))
	assert.Equal(t, all[0].GetRemainingSlots(), uint32(12))
	assert.Equal(t, f.Capacity([]string{"ready", "failed"})[0].GetRemainingSlots(), uint32(6))
}
