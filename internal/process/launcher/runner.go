package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"goji.io"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/reloader"
)

// RunNode runs a node with the settings in a file until ctx ends, and reads the
// settings again when they change. The dialect may depend on the settings.
func RunNode(ctx context.Context, path string, logs io.Writer, dialect func(*configurer.Node) (Dialect, error)) error {
	settings, err := configurer.LoadNode(path)
	if err != nil {
		return fmt.Errorf("read the settings of the node: %w", err)
	}
	d, err := dialect(settings)
	if err != nil {
		return fmt.Errorf("read what the platform says: %w", err)
	}
	out, flush := logger.NonBlocking(logs)
	defer flush()
	n, err := NewNodeWith(settings, out, d)
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
	return runReloading(path, n.log, reload, func() error { return n.Run(ctx) })
}

// RunControl does for a control instance what RunNode does for a node. Extra
// adds calls of the platform; it may be nil.
func RunControl(ctx context.Context, path string, logs io.Writer, extra func(*Control, *goji.Mux)) error {
	settings, err := configurer.LoadControl(path)
	if err != nil {
		return fmt.Errorf("read the settings of the control instance: %w", err)
	}
	out, flush := logger.NonBlocking(logs)
	defer flush()
	c, err := NewControlWith(settings, out, extra)
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
	return runReloading(path, c.log, reload, func() error { return c.Run(ctx) })
}

// runReloading runs a process and, beside it, the watch over its settings.
func runReloading(path string, log zerolog.Logger, reload, run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: log})
	r.Start()
	return firstError(run, r.Stop)
}
