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

// watch runs a scenario in fake time and returns the changes that were told.
func watch(t *testing.T, scenario func(w *Watcher, d *fakeDialer)) []bool {
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
	t.Run("a vanished upstream is noticed within a second", func(t *testing.T) {
		changes := watch(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false})
	})
	t.Run("one refused connection moves nothing", func(t *testing.T) {
		changes := watch(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(checkInterval + checkInterval/2)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.Equal(t, len(changes), 0)
	})
	t.Run("an upstream that returns is available again", func(t *testing.T) {
		changes := watch(t, func(_ *Watcher, d *fakeDialer) {
			d.refuse.Store(true)
			time.Sleep(2 * time.Second)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false, true})
	})
	t.Run("an upstream that drains takes no work although it accepts", func(t *testing.T) {
		changes := watch(t, func(w *Watcher, _ *fakeDialer) {
			w.Answered(true)
			time.Sleep(drainTimeout - time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false})
	})
	t.Run("an upstream that drained and restarted is available", func(t *testing.T) {
		changes := watch(t, func(w *Watcher, d *fakeDialer) {
			w.Answered(true)
			d.refuse.Store(true)
			time.Sleep(time.Second)
			d.refuse.Store(false)
			time.Sleep(time.Second)
		})
		assert.DeepEqual(t, changes, []bool{false, true})
	})
	t.Run("nothing is dialed while the path is answered", func(t *testing.T) {
		watch(t, func(w *Watcher, d *fakeDialer) {
			for range 100 {
				w.Answered(false)
				time.Sleep(checkInterval / 2)
			}
			assert.Equal(t, d.dials.Load(), int64(0))
		})
	})
}
