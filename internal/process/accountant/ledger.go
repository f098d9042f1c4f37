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

	"github.com/banyanscale/banyanscale/internal/process/journaler"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// RetentionDays is how many days the ledger keeps.
	RetentionDays = 62
	// saveInterval is the time between writes of the days that changed.
	saveInterval = ReportInterval
	// maxName bounds the names in a counter, in bytes.
	maxName = 128
	// futureDays is how far ahead an instance's clock may be.
	futureDays = 1
)

// Store keeps the ledger over a restart.
type Store interface {
	WriteBlob(name string, data []byte) error
	// ReadBlob returns journaler.ErrNotFound for a name that was never written.
	ReadBlob(name string) ([]byte, error)
}

// entry is a counter with the number of its last change at this process.
type entry struct {
	counter *controlwire.UsageCounter
	changed uint64
}

// Ledger merges the counters of all instances.
type Ledger struct {
	store    Store
	log      zerolog.Logger
	merged   tally.Counter
	rejected tally.Counter
	tomb     tomb.Tomb

	mu      sync.Mutex // Guards all below.
	days    map[uint32]map[key]*entry
	dirty   map[uint32]bool
	changed uint64
	saveErr error // Of the last write; nil if it succeeded.
}

// NewLedger returns the ledger that store holds.
func NewLedger(store Store, base zerolog.Logger, scope tally.Scope) (*Ledger, error) {
	l := &Ledger{
		store:    store,
		log:      logger.Part(base, "accountant"),
		merged:   scope.Counter("usage_counters_changed"),
		rejected: scope.Counter("usage_counters_rejected"),
		days:     make(map[uint32]map[key]*entry),
		dirty:    make(map[uint32]bool),
	}
	today := dayOf(time.Now())
	for day := today - RetentionDays; day <= today+futureDays; day++ {
		if err := l.load(day); err != nil {
			return nil, err
		}
	}
	clear(l.dirty)
	return l, nil
}

func blobName(day uint32) string { return fmt.Sprintf("ledger-%d", day) }

func (l *Ledger) load(day uint32) error {
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

// Start begins to write changes to the store.
func (l *Ledger) Start() { l.tomb.Go(l.run) }

// Stop writes all changes and ends. It must follow Start.
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
			l.expire(dayOf(time.Now()))
			if err := l.Save(); err != nil {
				l.log.Error().Err(err).Msg("The ledger could not be written; it is tried again.")
			}
		}
	}
}

// Report takes counters from a node. It fails while the ledger cannot be
// written, so that the node keeps its counters and reports them elsewhere.
func (l *Ledger) Report(counters []*controlwire.UsageCounter) error {
	l.Merge(counters)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.saveErr != nil {
		return fmt.Errorf("keep the report: %w", l.saveErr)
	}
	return nil
}

// Merge takes counters from a report or from another ledger.
func (l *Ledger) Merge(counters []*controlwire.UsageCounter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	today := dayOf(time.Now())
	for _, c := range counters {
		if !usable(c, today) {
			l.rejected.Inc(1)
			continue
		}
		if l.mergeOne(c) {
			l.merged.Inc(1)
		}
	}
}

// usable reports whether a counter is complete and of a day that is kept.
func usable(c *controlwire.UsageCounter, today uint32) bool {
	named := c.GetInstance() != "" && len(c.GetInstance()) <= maxName && len(c.GetOwner()) <= maxName &&
		len(c.GetService()) <= maxName && len(c.GetSite()) <= maxName
	return named && c.GetIncarnation() != 0 && c.GetDay()+RetentionDays >= today && c.GetDay() <= today+futureDays
}

func (l *Ledger) mergeOne(c *controlwire.UsageCounter) bool {
	day := l.days[c.GetDay()]
	if day == nil {
		day = make(map[key]*entry)
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
	l.changed++
	e.changed = l.changed
	l.dirty[c.GetDay()] = true
	return true
}

// Usage returns copies of the counters that req asks for, ordered by day,
// instance and incarnation.
func (l *Ledger) Usage(req *controlwire.UsageRequest) *controlwire.UsageResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &controlwire.UsageResponse{Changed: l.changed}
	for day, entries := range l.days {
		if day < req.GetFromDay() || day > req.GetToDay() {
			continue
		}
		for _, e := range entries {
			if e.changed > req.GetChangedAfter() {
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

// Save writes the days that changed since the last call. A day that could not
// be written is written by a later call.
func (l *Ledger) Save() error {
	var failed error
	for _, day := range l.takeDirty() {
		if err := l.saveDay(day); err != nil {
			l.markDirty(day)
			failed = err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saveErr = failed
	return failed
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

func (l *Ledger) takeDirty() []uint32 {
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

// expire drops days that are older than the retention, also from the store.
func (l *Ledger) expire(today uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for day := range l.days {
		if day+RetentionDays < today {
			delete(l.days, day)
			l.dirty[day] = true
		}
	}
}
