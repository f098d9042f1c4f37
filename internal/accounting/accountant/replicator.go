package accountant

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// replicateInterval is the interval between reads of the other ledgers.
	replicateInterval = 5 * time.Minute
	// replicateTimeout limits one read.
	replicateTimeout = 30 * time.Second
	// replicatedDays is how many past days are read. Counters of earlier days no longer
	// change, since ledgers reject them.
	replicatedDays = RetentionDays
)

// Reader reads the ledger of another control instance.
type Reader interface {
	Usage(ctx context.Context, to netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error)
}

// httpReader reads ledgers over HTTP.
type httpReader struct{ client connect.HTTPClient }

// NewReader returns a Reader that uses the given HTTP client.
func NewReader(client connect.HTTPClient) Reader { return &httpReader{client: client} }

// Usage implements Reader.
func (r *httpReader) Usage(ctx context.Context, to netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error) {
	control := newControlClient(r.client, to)
	resp, err := control.Usage(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("read usage: %w", err)
	}
	return resp.Msg, nil
}

// Replicator merges the ledgers of other control instances into the local ledger.
type Replicator struct {
	ledger        *Ledger
	reader        Reader
	otherControls func() []netip.AddrPort
	log           zerolog.Logger
	lastChange    map[netip.AddrPort]uint64 // Number of the last change read, by control instance.
	tomb          tomb.Tomb
}

// NewReplicator returns a replicator that reads the ledgers at the addresses returned by
// otherControls, which must not include this instance.
func NewReplicator(ledger *Ledger, reader Reader, otherControls func() []netip.AddrPort, base zerolog.Logger) *Replicator {
	return &Replicator{
		ledger:        ledger,
		reader:        reader,
		otherControls: otherControls,
		log:           logger.Part(base, "accountant"),
		lastChange:    make(map[netip.AddrPort]uint64),
	}
}

// Start starts reading the other ledgers every replicateInterval.
func (r *Replicator) Start() { r.tomb.Go(r.run) }

// Stop stops the replicator. It must be called after Start.
func (r *Replicator) Stop() error {
	r.tomb.Kill(nil)
	if err := r.tomb.Wait(); err != nil {
		return fmt.Errorf("stop replicator: %w", err)
	}
	return nil
}

func (r *Replicator) run() error {
	ticker := time.NewTicker(replicateInterval)
	defer ticker.Stop()
	for {
		for _, to := range r.otherControls() {
			if err := r.read(to); err != nil {
				r.log.Debug().Err(err).Stringer("control", to).Msg("Failed to read the ledger of another control instance.")
			}
		}
		select {
		case <-r.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// read merges the changes of another control instance since the last read. Change numbers
// restart from 0 with the process. A lower number than at the last read means that the
// other instance restarted, so that the next read starts from its first change.
func (r *Replicator) read(to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), replicateTimeout)
	defer cancel()
	today := dayOf(time.Now())
	req := &controlwire.UsageRequest{FromDay: today - replicatedDays, ToDay: today + maxFutureDays, ChangedAfter: r.lastChange[to]}
	resp, err := r.reader.Usage(ctx, to, req)
	if err != nil {
		return err
	}
	r.ledger.Merge(resp.GetCounters())
	if resp.GetChanged() < r.lastChange[to] {
		r.lastChange[to] = 0
		return nil
	}
	r.lastChange[to] = resp.GetChanged()
	return nil
}
