package launcher

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
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

// memoryStore is a blobStore with one blob in memory. Its reads fail with err, if not nil.
type memoryStore struct {
	data []byte
	err  error
}

func (m *memoryStore) ReadBlob(string) ([]byte, error) { return m.data, m.err }

func (m *memoryStore) WriteBlob(_ string, data []byte) error {
	m.data = data
	return nil
}

// seenIn returns the failure domains of a view, after a restart.
func seenIn(t *testing.T, view *registrar.View) *seenDomains {
	t.Helper()
	store := &memoryStore{}
	seen := newSeenDomains(store, zerolog.Nop())
	seen.Observe(view)
	assert.NilError(t, seen.save())
	return newSeenDomains(store, zerolog.Nop())
}

// TestUnreadableFailureDomainsDoNotEndTheProcess guards against a control instance that cannot start after a loss of power.
func TestUnreadableFailureDomainsDoNotEndTheProcess(t *testing.T) {
	store := &memoryStore{err: errors.New("corrupt")}
	seen := newSeenDomains(store, zerolog.Nop())
	assert.Assert(t, !seen.Has("ready"))
	seen.Observe(newDomainView(registrar.StateReady))
	assert.Assert(t, seen.Has("ready"))
	assert.NilError(t, seen.save())
	assert.Equal(t, string(store.data), "ready")
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
				f := newKnownFleet(func() *registrar.View { return tc.view }, seenIn(t, newDomainView(registrar.StateReady, registrar.StateFailed)))
				time.Sleep(tc.upFor)
				assert.Equal(t, f.Unknown(tc.domain, overlay), tc.unknown)
			})
		})
	}
}

// A proper order is not refused after more failure domains than are remembered.
func TestFailureDomainsOfMembersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{}
		for i := range maxSeenDomains {
			store.data = append(store.data, "former-"+strconv.Itoa(i)+"\n"...)
		}
		view := newDomainView(registrar.StateReady)
		seen := newSeenDomains(store, zerolog.Nop())
		seen.Observe(view)
		f := newKnownFleet(func() *registrar.View { return view }, seen)
		time.Sleep(time.Hour)
		assert.Assert(t, !f.Unknown("ready", &controlwire.Document{}))
		assert.Assert(t, f.Unknown("raedy", &controlwire.Document{}))
	})
}

func TestCapacityLeavesOutWhatAcceptsNothing(t *testing.T) {
	view := newDomainView(registrar.StateReady, registrar.StateWarming, registrar.StateLeaving, registrar.StateFailed)
	f := newKnownFleet(func() *registrar.View { return view }, seenIn(t, view))
	all := f.Capacity(nil)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].GetSlots(), uint32(12))
	assert.Equal(t, all[0].GetRemainingSlots(), uint32(12))
	assert.Equal(t, f.Capacity([]string{"ready", "failed"})[0].GetRemainingSlots(), uint32(6))
}
