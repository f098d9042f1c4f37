package departurekeeper

import (
	"fmt"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/connection/courier"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

const (
	// maxInstances bounds the instances of which an archive holds a departure.
	maxInstances = 16384
	// maxPending bounds the requests that wait for the disk. Their senders repeat what is
	// dropped.
	maxPending = 1024
	// maxAppendedBytes is the number of bytes appended to the journal after which it is
	// rewritten.
	maxAppendedBytes = 4 << 20
	// logLinesPerSecond limits the log lines about each kind of event.
	logLinesPerSecond = 5
)

// Journal is a durable list of records. journaler.Journal implements it.
type Journal interface {
	Records() [][]byte
	// Append returns nil once the records are durable.
	Append(records ...[]byte) error
	Rewrite(records [][]byte) error
	Appended() int64
}

// ArchiveConfig lists what an Archive depends on.
type ArchiveConfig struct {
	Journal   Journal
	Transport Transport
	Scope     tally.Scope
	Log       zerolog.Logger
}

// Archive holds the departures of all instances at a control instance. It tells only what is
// durable.
type Archive struct {
	cfg                        ArchiveConfig
	stored, dropped, malformed tally.Counter
	logs                       *logger.Limiter
	pending                    chan request
	tomb                       tomb.Tomb

	mu      sync.Mutex // Guards the fields below.
	entries map[string]archived
	added   uint64
}

// archived is a departure in an archive.
type archived struct {
	departure Departure
	number    uint64 // Increases with each departure added.
}

// request is a message of a node.
type request struct {
	from    netip.AddrPort
	message message
}

// NewArchive reads the journal. The archive answers after Start.
func NewArchive(cfg ArchiveConfig) *Archive {
	cfg.Log = logger.Part(cfg.Log, "departurekeeper")
	a := &Archive{
		cfg:       cfg,
		stored:    cfg.Scope.Counter("stored"),
		dropped:   cfg.Scope.Counter("dropped"),
		malformed: cfg.Scope.Counter("malformed"),
		logs:      logger.NewLimiter(logLinesPerSecond),
		pending:   make(chan request, maxPending),
		entries:   make(map[string]archived),
	}
	for _, record := range cfg.Journal.Records() {
		m, err := decodeMessage(record)
		if err != nil {
			cfg.Log.Error().Err(err).Msg("A stored departure is ignored.")
			continue
		}
		a.add(m)
	}
	return a
}

// Start starts answering.
func (a *Archive) Start() {
	a.tomb.Go(a.run)
	a.cfg.Transport.Handle(courier.KindDeparture, a.receive)
}

// Stop ends the writes. Later requests with a new departure get no answer.
func (a *Archive) Stop() error {
	a.tomb.Kill(nil)
	if err := a.tomb.Wait(); err != nil {
		return fmt.Errorf("stop archive of departures: %w", err)
	}
	return nil
}

// receive handles one datagram of a node.
func (a *Archive) receive(from netip.AddrPort, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		a.malformed.Inc(1)
		a.logs.Limit(a.cfg.Log.Debug()).Err(err).Stringer("from", from).Msg("Message ignored.")
		return
	}
	r := request{from: from, message: m}
	if a.departure(m.instance).covers(m.departure) {
		a.answer(r)
		return
	}
	select {
	case a.pending <- r:
	default:
		a.dropped.Inc(1)
	}
}

// run stores departures and answers their senders.
func (a *Archive) run() error {
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case r := <-a.pending:
			a.store(append([]request{r}, a.waiting()...))
		}
	}
}

// waiting returns the further requests that wait for the disk.
func (a *Archive) waiting() []request {
	var list []request
	for {
		select {
		case r := <-a.pending:
			list = append(list, r)
		default:
			return list
		}
	}
}

// store makes the departures of requests durable together, and answers the requests.
func (a *Archive) store(requests []request) {
	var records [][]byte
	for _, r := range requests {
		if !a.departure(r.message.instance).covers(r.message.departure) {
			records = append(records, r.message.encode())
		}
	}
	if err := a.write(records); err != nil {
		a.logs.Limit(a.cfg.Log.Error()).Err(err).Int("departures", len(records)).Msg("Failed to store departures.")
		return
	}
	for _, r := range requests {
		a.add(r.message)
		a.answer(r)
	}
}

// write appends records to the journal, and rewrites one that has grown.
func (a *Archive) write(records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	if a.cfg.Journal.Appended() < maxAppendedBytes {
		if err := a.cfg.Journal.Append(records...); err != nil {
			return fmt.Errorf("append: %w", err)
		}
	} else if err := a.cfg.Journal.Rewrite(append(a.records(), records...)); err != nil {
		return fmt.Errorf("rewrite: %w", err)
	}
	a.stored.Inc(int64(len(records)))
	return nil
}

// records returns the records of all departures held.
func (a *Archive) records() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list [][]byte
	for instance, e := range a.entries {
		list = append(list, message{instance: instance, departure: e.departure}.encode())
	}
	return list
}

// add takes up a departure that is durable. It makes room for it if necessary.
func (a *Archive) add(m message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, known := a.entries[m.instance]
	if held.departure.covers(m.departure) {
		return
	}
	if !known && len(a.entries) >= maxInstances {
		a.removeOldest()
	}
	a.added++
	a.entries[m.instance] = archived{departure: m.departure, number: a.added}
}

func (a *Archive) removeOldest() {
	oldest := ""
	for instance, e := range a.entries {
		if oldest == "" || e.number < a.entries[oldest].number {
			oldest = instance
		}
	}
	delete(a.entries, oldest)
}

// departure returns the newest durable departure at an instance.
func (a *Archive) departure(instance string) Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries[instance].departure
}

// answer tells a node the newest durable departure of its upstream.
func (a *Archive) answer(r request) {
	m := message{nonce: r.message.nonce, instance: r.message.instance, departure: a.departure(r.message.instance)}
	if err := a.cfg.Transport.Send(courier.KindDepartureAnswer, r.from, m.encode()); err != nil {
		a.logs.Limit(a.cfg.Log.Debug()).Err(err).Stringer("to", r.from).Msg("Answer not sent.")
	}
}
