package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"goji.io"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/reloader"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
)

// RunNode runs a node with the settings in a file until ctx ends, and reloads the settings
// when the file changes. The dialect may depend on the settings.
func RunNode(ctx context.Context, path string, logs io.Writer, dialect func(*configurer.Node) (Dialect, error)) error {
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
	return runWithReload(path, n.log, reload, func() error { return n.Run(ctx) })
}

// RunControl is like RunNode, for a control instance. addHandlers adds the handlers of a
// platform's calls; it may be nil.
func RunControl(ctx context.Context, path string, logs io.Writer, addHandlers func(*Control, *goji.Mux)) error {
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
	return runWithReload(path, c.log, reload, func() error { return c.Run(ctx) })
}

// runWithReload calls run, and calls reload on SIGHUP and when the settings file changes.
func runWithReload(path string, log zerolog.Logger, reload, run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: log})
	r.Start()
	return firstError(run, r.Stop)
}
