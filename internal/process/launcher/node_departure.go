package launcher

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/fleet/departurekeeper"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// departureTimeout is the longest time that the upstream waits until its departure is stored. It
// gives an acknowledgement up after a second.
const departureTimeout = 700 * time.Millisecond

// errNotDeparted reports that the upstream may still get requests: a later heartbeat said so, or it
// is not known whether it comes before or after the one that does.
var errNotDeparted = errors.New("the upstream is not known to be leaving")

// assembleDepartures creates the part that keeps at control instances that the upstream is
// leaving, if the upstream sends heartbeats.
func (n *Node) assembleDepartures(base zerolog.Logger, transport departurekeeper.Transport) {
	if n.enroller == nil {
		return
	}
	n.departures = departurekeeper.New(departurekeeper.Config{
		Instance:  n.settings.Instance(),
		Controls:  n.departureControls,
		Transport: transport,
		OnDeparture: func(d departurekeeper.Departure) {
			n.enroller.Deregister(d.Upstream, d.StartedAt)
		},
		OnSettled: n.enroller.Release,
		Random:    newRandom(),
		Scope:     n.metrics.Scope().SubScope("departurekeeper"),
		Log:       logger.Part(base, "departurekeeper"),
	})
}

// recallDeparture learns whether an earlier process of the node acknowledged that the upstream is
// leaving. The upstream is unavailable until that is known.
func (n *Node) recallDeparture() {
	if n.departures == nil {
		return
	}
	n.enroller.Hold()
	n.departures.Start()
}

// noteDeparture lets the departure of an upstream be stored.
func (n *Node) noteDeparture(id string, startedAt time.Time) {
	if n.departures != nil {
		n.departures.Note(departurekeeper.Departure{Upstream: id, StartedAt: startedAt})
	}
}

// StoreDeparture waits until it holds also after a restart of the node that an incarnation of the
// upstream gets no new requests. Its start time may be zero if it is unknown. Only then may be
// acknowledged that it is leaving.
func (n *Node) StoreDeparture(ctx context.Context, id string, startedAt time.Time) error {
	if !n.enroller.Ended(id, startedAt) {
		return errors.Wrapf(errNotDeparted, "upstream %s", id)
	}
	current, currentStartedAt, departed := n.enroller.Departure()
	if !departed || current != id {
		return nil // A later incarnation has replaced it.
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := n.departures.Store(ctx, departurekeeper.Departure{Upstream: id, StartedAt: currentStartedAt}); err != nil {
		return fmt.Errorf("store the departure: %w", err)
	}
	return nil
}

// departureControls returns the control instances that the node knows.
func (n *Node) departureControls() departurekeeper.Controls {
	view, configured := n.snapshots.Snapshot().View(), n.settings.ControlAddresses()
	return departurekeeper.Controls{
		Running:    controlAddressesIn(view),
		Configured: configured,
		Known:      max(knownControls(view), len(configured)),
	}
}

// knownControls returns the number of control instances in a view that have not left.
func knownControls(view *registrar.View) int {
	n := 0
	for _, in := range view.Service("") {
		if in.State() != registrar.StateLeft {
			n++
		}
	}
	return n
}
