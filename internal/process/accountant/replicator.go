package accountant

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
)

const (
	// replicateInterval is the time between reads of one other ledger.
	replicateInterval = 5 * time.Minute
	// replicateTimeout bounds one read.
	replicateTimeout = 30 * time.Second
	// replicateDays is how many days back counters may still change.
	replicateDays = RetentionDays
)

// Reader reads the ledger of another control instance.
type Reader interface {
	Usage(ctx context.Context, to netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error)
}

// httpReader is the Reader over HTTP.
type httpReader struct{ client connect.HTTPClient }

// NewReader returns a Reader that uses the given HTTP client.
func NewReader(client connect.HTTPClient) Reader { return &httpReader{client: client} }

// Usage implements Reader.
func (r *httpReader) Usage(ctx context.Context, to netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error) {
	control := controlwireconnect.NewControlClient(r.client, "http://"+to.String())
	resp, err := control.Usage(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("read usage: %w", err)
	}
	return resp.Msg, nil
}

// Replicator merges the ledgers of other control instances into the own one.
type Replicator struct {
	ledger *Ledger
	reader Reader
	others func() []netip.AddrPort
	log    zerolog.Logger
	seen   map[netip.AddrPort]uint64 // The latest change read from each.
	tomb   tomb.Tomb
}

// NewReplicator returns a replicator that reads from the instances that others
// returns, which must not include this one.
func NewReplicator(ledger *Ledger, reader Reader, others func() []netip.AddrPort, base zerolog.Logger) *Replicator {
	return &Replicator{
		ledger: ledger,
		reader: reader,
		others: others,
		log:    logger.Part(base, "accountant"),
		seen:   make(map[netip.AddrPort]uint64),
	}
}

// Start begins to read from others.
func (r *Replicator) Start() { r.tomb.Go(r.run) }

// Stop ends all reading. It must follow Start.
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
		for _, to := range r.others() {
			if err := r.read(to); err != nil {
				r.log.Debug().Err(err).Stringer("control", to).Msg("A ledger could not be read.")
			}
		}
		select {
		case <-r.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// read merges what changed at another instance since the last read. A change
// number that went back tells that the instance started anew.
func (r *Replicator) read(to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), replicateTimeout)
	defer cancel()
	today := dayOf(time.Now())
	req := &controlwire.UsageRequest{FromDay: today - replicateDays, ToDay: today + futureDays, ChangedAfter: r.seen[to]}
	resp, err := r.reader.Usage(ctx, to, req)
	if err != nil {
		return err
	}
	r.ledger.Merge(resp.GetCounters())
	if resp.GetChanged() < r.seen[to] {
		r.seen[to] = 0
		return nil
	}
	r.seen[to] = resp.GetChanged()
	return nil
}
