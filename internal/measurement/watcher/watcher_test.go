package watcher

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var errRefused = errors.New("connection refused")

// fakeDialer accepts or refuses connections.
type fakeDialer struct {
	refuse atomic.Bool
	dials  atomic.Int64
}

func (d *fakeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.dials.Add(1)
	if d.refuse.Load() {
		return nil, errRefused
	}
	a, b := net.Pipe()
	b.Close()
	return a, nil
}

// availabilityChanges runs a scenario on a fake clock and returns the reported changes.
func availabilityChanges(t *testing.T, scenario func(w *Watcher, d *fakeDialer)) []bool {
	t.Helper()
	var changes []bool
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		w := New(Config{
			Upstream: netip.MustParseAddrPort("127.0.0.1:1"), Dialer: d,
			OnChange: func(available bool) { changes = append(changes, available) },
		})
		w.Start()
		scenario(w, d)
		assert.NilError(t, w.Stop())
	})
	return changes
}

func TestWatcher(t *testing.T) {
	t.Run("an unreachable upstream is unavailable within a second", func(t *testing.T) {
		changes := availabilityChanges(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false})
	})
	t.Run("one refused dial changes nothing", func(t *testing.T) {
		changes := availabilityChanges(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(checkInterval + checkInterval/2)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.Equal(t, len(changes), 0)
	})
	t.Run("an upstream that accepts again is available", func(t *testing.T) {
		changes := availabilityChanges(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(2 * time.Second)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false, true})
	})
	t.Run("a draining upstream is unavailable although it accepts connections", func(t *testing.T) {
		changes := availabilityChanges(t, func(w *Watcher, _ *fakeDialer) {
			w.ObserveResponse(true)
			time.Sleep(drainTimeout - time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false})
	})
	t.Run("an upstream that drained and restarted is available", func(t *testing.T) {
		changes := availabilityChanges(t, func(w *Watcher, d *fakeDialer) {
			w.ObserveResponse(true)
			d.refuse.Store(true)
			time.Sleep(time.Second)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false, true})
	})
	t.Run("no dial while requests get responses", func(t *testing.T) {
		availabilityChanges(t, func(w *Watcher, d *fakeDialer) {
			for range 100 {
				w.ObserveResponse(false)
				time.Sleep(checkInterval / 2)
			}
			assert.Equal(t, d.dials.Load(), int64(0))
		})
	})
}
