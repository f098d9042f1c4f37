package launcher

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// endedCheckTimeout limits how long the check whether the upstream has ended takes. The
// upstream is on the same machine.
const endedCheckTimeout = 50 * time.Millisecond

// newCrashWatcher returns the watcher of the node's own upstream.
func (n *Node) newCrashWatcher(base zerolog.Logger) *crashwatcher.Watcher {
	return crashwatcher.New(crashwatcher.Config{
		Instance:      n.settings.Instance(),
		UpstreamEnded: n.upstreamEnded,
		Observer:      n.quarantiner,
		Scope:         n.metrics.Scope().SubScope("server"),
		Log:           logger.Part(base, "crashwatcher"),
	})
}

// upstreamEnded reports whether the process of the upstream has ended unplanned: its address
// refuses connections, and it has not said that it drains.
func (n *Node) upstreamEnded() bool {
	if n.upstreamStopping() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	conn, err := n.upstreamDialer.DialContext(ctx, "tcp", n.settings.UpstreamAddress().String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// upstreamStopping reports whether the upstream has said that it drains.
func (n *Node) upstreamStopping() bool {
	if n.enroller == nil {
		return n.watcher.Draining()
	}
	id, available := n.enroller.Current()
	return id != "" && !available
}

// runsTrial reports whether this instance is the one of its service that runs a request on
// trial.
func (n *Node) runsTrial(t quarantiner.Trial) bool {
	chosen := t.Choose(n.snapshots.Snapshot().View().Service(n.settings.Service()))
	return chosen != nil && chosen.ID() == n.settings.Instance()
}
