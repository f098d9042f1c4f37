package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"goji.io"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/reloader"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// RunNode runs a node with the settings in a file until ctx ends, and reloads the settings
// when the file changes. The dialect may depend on the settings.
func RunNode(ctx context.Context, path string, logs io.Writer, dialect func(*configurer.Node) (Dialect, error)) error {
	signals := reloadSignals()
	defer signal.Stop(signals)
	settings, err := configurer.LoadNode(path)
	if err != nil {
		return fmt.Errorf("read the settings of the node: %w", err)
	}
	debug.SetGCPercent(collectorPercent(settings.MemoryMB()))
	debug.SetMemoryLimit(softLimitBytes(settings.MemoryMB()))
	d, err := dialect(settings)
	if err != nil {
		return fmt.Errorf("determine the platform's dialect: %w", err)
	}
	out, flush := logger.NonBlocking(logs)
	defer flush()
	n, err := NewNodeWithDialect(settings, out, d)
	if err != nil {
		return fmt.Errorf("start the node: %w", err)
	}
	reload := func() error {
		changed, err := configurer.LoadNode(path)
		if err == nil {
			n.Reload(changed)
		}
		return err
	}
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: n.log})
	return runWithReload(r, func() error { return n.Run(ctx) })
}

// RunControl is like RunNode, for a control instance. addHandlers adds the handlers of a
// platform's calls; it may be nil.
func RunControl(ctx context.Context, path string, logs io.Writer, addHandlers func(*Control, *goji.Mux)) error {
	signals := reloadSignals()
	defer signal.Stop(signals)
	settings, err := configurer.LoadControl(path)
	if err != nil {
		return fmt.Errorf("read the settings of the control instance: %w", err)
	}
	debug.SetMemoryLimit(softLimitBytes(settings.MemoryMB()))
	out, flush := logger.NonBlocking(logs)
	defer flush()
	c, err := NewControlWithHandlers(settings, out, addHandlers)
	if err != nil {
		return fmt.Errorf("start the control instance: %w", err)
	}
	reload := func() error {
		changed, err := configurer.LoadControl(path)
		if err == nil {
			c.Reload(changed)
		}
		return err
	}
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: c.log})
	return runWithReload(r, func() error { return c.Run(ctx) })
}

// reloadSignals returns a channel that receives the signals that request a reload. Without it such a
// signal would end the process, also while it starts.
func reloadSignals() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// runWithReload calls run while the reloader works.
func runWithReload(r *reloader.Reloader, run func() error) error {
	r.Start()
	return firstError(run, r.Stop)
}
