package keyer

import (
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// maxEpochs bounds the remembered epochs. Beyond it the history starts later,
// which only makes fewer keys known.
const maxEpochs = 256

// epoch is a time in which the service's instances stayed the same.
type epoch struct {
	from     time.Time
	routable []*registrar.Instance
	// others are all other instances that have not left, reachable or not.
	others []*registrar.Instance
	// doubtful tells that this instance may have lost sight of the fleet, so
	// that any other may have kept its keys.
	doubtful bool
	// self is this instance's incarnation. It grows when others doubted it.
	self uint64
}

// reign is a time in which one instance kept a key.
type reign struct {
	from time.Time
	home *registrar.Instance // Nil if it is not known which.
}

// history remembers who could keep a key and when.
type history struct {
	self   string
	epochs []epoch
}

// observe adds the service's instances as they are known at now.
func (h *history) observe(instances []*registrar.Instance, now time.Time, retention time.Duration) {
	e := epoch{from: now}
	known, alive := 0, 0
	for _, in := range instances {
		if in.ID() == h.self {
			e.self = in.Incarnation()
		}
		if in.State().Routable() {
			e.routable = append(e.routable, in)
		}
		if in.State() != registrar.StateLeft {
			known++
		}
		if in.State() != registrar.StateLeft && in.ID() != h.self {
			e.others = append(e.others, in)
		}
		if in.State() != registrar.StateLeft && in.State() != registrar.StateFailed {
			alive++
		}
	}
	e.doubtful = alive*2 <= known
	if n := len(h.epochs); n > 0 {
		last := h.epochs[n-1]
		if last.doubtful == e.doubtful && last.self == e.self && sameInstances(last.routable, e.routable) {
			return
		}
	}
	h.epochs = append(h.epochs, e)
	h.prune(now.Add(-retention))
}

// prune forgets the epochs that ended before the given time.
func (h *history) prune(before time.Time) {
	n := 0
	for n+1 < len(h.epochs) && !h.epochs[n+1].from.After(before) {
		n++
	}
	n = max(n, len(h.epochs)-maxEpochs)
	h.epochs = slices.Delete(h.epochs, 0, n)
}

// reigns returns who kept a key, from the first epoch to now.
func (h *history) reigns(key string, retention time.Duration, now time.Time) []reign {
	var list []reign
	for i, e := range h.epochs {
		end := now
		if i+1 < len(h.epochs) {
			end = h.epochs[i+1].from
		}
		changed := i > 0 && h.epochs[i-1].self != 0 && h.epochs[i-1].self != e.self
		if e.doubtful || changed {
			list = append(list, reign{from: e.from})
		}
		if e.doubtful {
			continue
		}
		for _, at := range e.times(end, retention) {
			list = append(list, reign{from: at, home: first(e.routable, key, at.Add(-retention))})
		}
	}
	return list
}

// times returns the start of the epoch and every time up to its end at which
// an instance came to be up for the retention.
func (e *epoch) times(end time.Time, retention time.Duration) []time.Time {
	list := []time.Time{e.from}
	for _, in := range e.routable {
		if at := started(in).Add(retention); at.After(e.from) && !at.After(end) {
			list = append(list, at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

func sameInstances(a, b []*registrar.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y *registrar.Instance) bool {
		return x.ID() == y.ID() && x.Incarnation() == y.Incarnation()
	})
}
