package accountant

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// RetentionDays is how many past days the ledger keeps.
	RetentionDays = 62
	// saveInterval is the interval between writes of changed days to the store.
	saveInterval = ReportInterval
	// maxNameBytes is the maximum length of each name in a counter.
	maxNameBytes = 128
	// maxFutureDays is how many days an instance's clock may be ahead.
	maxFutureDays = 1
)

// Store persists the ledger across restarts.
type Store interface {
	WriteBlob(name string, data []byte) error
	// ReadBlob returns journaler.ErrNotFound if no blob of that name was written.
	ReadBlob(name string) ([]byte, error)
}

// entry is a counter with the number of its last change in this process.
type entry struct {
	counter      *controlwire.UsageCounter
	changeNumber uint64
}

// Ledger merges the usage counters of all instances and persists them by day. It is safe
// for concurrent use.
type Ledger struct {
	store    Store
	log      zerolog.Logger
	merged   tally.Counter
	rejected tally.Counter
	tomb     tomb.Tomb

	mu         sync.Mutex // Guards the fields below.
	days       map[uint32]map[counterKey]*entry
	dirty      map[uint32]bool // Days changed since their last write.
	lastChange uint64          // Number of the last change.
	saveErr    error           // Error of the last save, or nil.
}

// NewLedger loads the ledger from store.
func NewLedger(store Store, base zerolog.Logger, scope tally.Scope) (*Ledger, error) {
	l := &Ledger{
		store:    store,
		log:      logger.Part(base, "accountant"),
		merged:   scope.Counter("usage_counters_changed"),
		rejected: scope.Counter("usage_counters_rejected"),
		days:     make(map[uint32]map[counterKey]*entry),
		dirty:    make(map[uint32]bool),
	}
	today := dayOf(time.Now())
	for day := today - RetentionDays; day <= today+maxFutureDays; day++ {
		if err := l.loadDay(day); err != nil {
			return nil, err
		}
	}
	clear(l.dirty)
	return l, nil
}

func blobName(day uint32) string { return fmt.Sprintf("ledger-%d", day) }

func (l *Ledger) loadDay(day uint32) error {
	data, err := l.store.ReadBlob(blobName(day))
	if errors.Is(err, journaler.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read ledger: %w", err)
	}
	stored := &controlwire.UsageResponse{}
	if err := proto.Unmarshal(data, stored); err != nil {
		return fmt.Errorf("decode ledger of day %d: %w", day, err)
	}
	l.Merge(stored.GetCounters())
	return nil
}

// Start starts writing changes to the store every saveInterval.
func (l *Ledger) Start() { l.tomb.Go(l.run) }

// Stop writes all changes to the store and stops. It must be called after Start.
func (l *Ledger) Stop() error {
	l.tomb.Kill(nil)
	if err := l.tomb.Wait(); err != nil {
		return fmt.Errorf("stop ledger: %w", err)
	}
	return nil
}

func (l *Ledger) run() error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return l.Save()
		case <-ticker.C:
			l.expireDays(dayOf(time.Now()))
			if err := l.Save(); err != nil {
				l.log.Error().Err(err).Msg("Failed to write the ledger, retrying at the next save.")
			}
		}
	}
}

// Report merges counters reported by a node. It returns an error if the last save of the
// ledger failed, so that the node keeps its counters and reports them to another control
// instance.
func (l *Ledger) Report(counters []*controlwire.UsageCounter) error {
	l.Merge(counters)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.saveErr != nil {
		return fmt.Errorf("save usage report: %w", l.saveErr)
	}
	return nil
}

// Merge merges counters from a report or from another ledger. Invalid ones are counted
// and ignored.
func (l *Ledger) Merge(counters []*controlwire.UsageCounter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	today := dayOf(time.Now())
	for _, c := range counters {
		if !isAcceptable(c, today) {
			l.rejected.Inc(1)
			continue
		}
		if l.mergeOne(c) {
			l.merged.Inc(1)
		}
	}
}

// isAcceptable reports whether a counter has valid names, an incarnation, and a day that
// the ledger keeps.
func isAcceptable(c *controlwire.UsageCounter, today uint32) bool {
	namesValid := c.GetInstance() != "" && len(c.GetInstance()) <= maxNameBytes && len(c.GetOwner()) <= maxNameBytes &&
		len(c.GetService()) <= maxNameBytes && len(c.GetSite()) <= maxNameBytes
	return namesValid && c.GetIncarnation() != 0 && c.GetDay()+RetentionDays >= today && c.GetDay() <= today+maxFutureDays
}

func (l *Ledger) mergeOne(c *controlwire.UsageCounter) bool {
	day := l.days[c.GetDay()]
	if day == nil {
		day = make(map[counterKey]*entry)
		l.days[c.GetDay()] = day
	}
	e := day[keyOf(c)]
	switch {
	case e == nil:
		e = &entry{counter: proto.CloneOf(c)}
		day[keyOf(c)] = e
	case !merge(e.counter, c):
		return false
	}
	l.lastChange++
	e.changeNumber = l.lastChange
	l.dirty[c.GetDay()] = true
	return true
}

// Usage returns copies of the counters selected by req, sorted by day, instance and
// incarnation, and the number of the ledger's last change.
func (l *Ledger) Usage(req *controlwire.UsageRequest) *controlwire.UsageResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &controlwire.UsageResponse{Changed: l.lastChange}
	for day, entries := range l.days {
		if day < req.GetFromDay() || day > req.GetToDay() {
			continue
		}
		for _, e := range entries {
			if e.changeNumber > req.GetChangedAfter() {
				resp.Counters = append(resp.Counters, proto.CloneOf(e.counter))
			}
		}
	}
	sortCounters(resp.Counters)
	return resp
}

func sortCounters(counters []*controlwire.UsageCounter) {
	sort.Slice(counters, func(i, j int) bool {
		a, b := keyOf(counters[i]), keyOf(counters[j])
		if a.day != b.day {
			return a.day < b.day
		}
		if a.instance != b.instance {
			return a.instance < b.instance
		}
		return a.incarnation < b.incarnation
	})
}

// Save writes the days that changed since the last call. A day whose write fails stays
// dirty and is retried by the next call.
func (l *Ledger) Save() error {
	var lastErr error
	for _, day := range l.takeDirtyDays() {
		if err := l.saveDay(day); err != nil {
			l.markDirty(day)
			lastErr = err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saveErr = lastErr
	return lastErr
}

func (l *Ledger) saveDay(day uint32) error {
	resp := l.Usage(&controlwire.UsageRequest{FromDay: day, ToDay: day})
	data, err := proto.Marshal(&controlwire.UsageResponse{Counters: resp.GetCounters()})
	if err != nil {
		return fmt.Errorf("encode ledger of day %d: %w", day, err)
	}
	if err := l.store.WriteBlob(blobName(day), data); err != nil {
		return fmt.Errorf("write ledger of day %d: %w", day, err)
	}
	return nil
}

// takeDirtyDays returns the changed days in order and marks them as written.
func (l *Ledger) takeDirtyDays() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var days []uint32
	for day := range l.dirty {
		days = append(days, day)
	}
	sort.Slice(days, func(i, j int) bool { return days[i] < days[j] })
	clear(l.dirty)
	return days
}

func (l *Ledger) markDirty(day uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirty[day] = true
}

// expireDays removes days older than RetentionDays. The next save replaces their blobs
// with empty ones.
func (l *Ledger) expireDays(today uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for day := range l.days {
		if day+RetentionDays < today {
			delete(l.days, day)
			l.dirty[day] = true
		}
	}
}
