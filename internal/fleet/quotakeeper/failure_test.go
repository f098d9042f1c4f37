package quotakeeper

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// failureSize is the number of nodes in the tests of failures.
const failureSize = 16

// failure is something that happens to a fleet under load, and ends.
type failure struct {
	begin, end func(t *testing.T, f *fleet)
	// share is the part of what one bucket lets pass that must run at 0.8 of the limit.
	share float64
}

func nothing(*testing.T, *fleet) {}

var failures = map[string]failure{
	"the grantor is killed": {
		begin: func(t *testing.T, f *fleet) { f.killControlAndCut(t, f.grantorIndex(t)) }, end: nothing, share: 0.9,
	},
	"the grantor is frozen and woken": {
		begin: func(t *testing.T, f *fleet) { f.frozenControl = f.grantorIndex(t); f.freezeControl(f.frozenControl) },
		end:   func(_ *testing.T, f *fleet) { f.wakeControl(f.frozenControl) }, share: 0.9,
	},
	"the grantor is restarted": {
		begin: func(t *testing.T, f *fleet) {
			i := f.grantorIndex(t)
			f.killControl(t, i)
			f.startControl(i)
		},
		end: nothing, share: 0.9,
	},
	"the grantor stops in order": {
		begin: func(t *testing.T, f *fleet) { f.stopControl(t, f.grantorIndex(t)) }, end: nothing, share: 0.95,
	},
	"half of the nodes and the grantor are cut off": {
		begin: func(t *testing.T, f *fleet) {
			f.network.SetSide(controlAddress(f.grantorIndex(t)), 1)
			f.cutNodes(failureSize/2, 1)
		},
		end: func(_ *testing.T, f *fleet) { f.heal() }, share: 0.8,
	},
	"half of the nodes are cut off": {
		begin: func(_ *testing.T, f *fleet) { f.cutNodes(failureSize/2, 1) },
		end:   func(_ *testing.T, f *fleet) { f.heal() }, share: 0.8,
	},
	"all control instances are restarted": {
		begin: func(t *testing.T, f *fleet) {
			for i := range controls {
				f.killControl(t, i)
				f.startControl(i)
			}
		},
		end: nothing, share: 0.8,
	},
	"all processes are restarted": {
		begin: func(t *testing.T, f *fleet) {
			for i := range controls {
				f.killControl(t, i)
				f.startControl(i)
			}
			for i := range f.nodes {
				f.restartNode(t, i)
			}
		},
		end: nothing, share: 0.7,
	},
	"half of the nodes are restarted": {
		begin: func(t *testing.T, f *fleet) {
			for i := range failureSize / 2 {
				f.restartNode(t, i)
			}
		},
		end: nothing, share: 0.9,
	},
	"nodes are frozen and woken": {
		begin: func(_ *testing.T, f *fleet) {
			for i := range failureSize / 4 {
				f.network.Freeze(nodeAddress(i))
			}
		},
		end: func(_ *testing.T, f *fleet) {
			for i := range failureSize / 4 {
				f.network.Wake(nodeAddress(i))
			}
		},
		share: 0.8,
	},
	"datagrams are lost and doubled": {
		begin: func(_ *testing.T, f *fleet) { f.network.SetLoss(0.1) },
		end:   func(_ *testing.T, f *fleet) { f.network.SetLoss(0) }, share: 0.9,
	},
	"many datagrams are lost": {
		begin: func(_ *testing.T, f *fleet) { f.network.SetLoss(0.5) },
		end:   func(_ *testing.T, f *fleet) { f.network.SetLoss(0) }, share: 0.7,
	},
}

func (f *fleet) killControlAndCut(t *testing.T, i int) {
	t.Helper()
	f.killControl(t, i)
	f.network.SetSide(controlAddress(i), 9)
}

// freezeControl stops a control instance, and wakeControl lets it go on with what it had.
func (f *fleet) freezeControl(i int) {
	c := f.controls[i]
	f.network.Freeze(controlAddress(i))
	_ = c.elector.Stop()
	_ = c.server.Stop()
	c.stopped = true
}

// wakeControl delivers what has reached the instance while it was frozen, first.
func (f *fleet) wakeControl(i int) {
	f.network.Wake(controlAddress(i))
	f.startControl(i)
}

func (f *fleet) cutNodes(count, side int) {
	for i := range count {
		f.network.SetSide(nodeAddress(i), side)
	}
}

func (f *fleet) heal() {
	for i := range f.nodes {
		f.network.SetSide(nodeAddress(i), 0)
	}
	for i := range f.controls {
		f.network.SetSide(controlAddress(i), 0)
	}
}

func (f *fleet) restartNode(t *testing.T, i int) {
	t.Helper()
	assert.NilError(t, f.node(i).Stop())
	f.startNode(i)
}

// TestLimitHoldsThroughFailures plays load below and far above the limit while something fails
// for 8 s. The clock is no failure of its own here: nothing reads the time of day.
func TestLimitHoldsThroughFailures(t *testing.T) {
	small, large := organisation(t, "chica", 2, 4), organisation(t, "grande", 230, 60)
	organisations := []*compiler.Organisation{small, large}
	for name, failure := range failures {
		for _, times := range []float64{0.8, 12} {
			t.Run(fmt.Sprintf("%s, %g times the limit", name, times), func(t *testing.T) {
				runFleet(t, 2, failureSize, organisations, func(t *testing.T, f *fleet) {
					time.Sleep(warmUp)
					var wg sync.WaitGroup
					sent := make([][]time.Duration, len(organisations))
					for i, o := range organisations {
						l := load{o, constant(o.Rate() * times), anywhere(failureSize)}
						wg.Go(func() { sent[i] = f.play(l, 22*time.Second) })
					}
					time.Sleep(6 * time.Second)
					failure.begin(t, f)
					time.Sleep(8 * time.Second)
					failure.end(t, f)
					wg.Wait()
					for i, o := range organisations {
						f.assertWithinLimit(t, o)
						wanted := bucketCount(o, sent[i])
						t.Logf("%s: %d ran, one bucket %d, share %.3f", o.Name(), f.count(o), wanted, float64(f.count(o))/float64(wanted))
					}
					if times < 1 {
						assert.Check(t, float64(f.count(large)) >= failure.share*float64(bucketCount(large, sent[1])))
					}
				})
			})
		}
	}
}
