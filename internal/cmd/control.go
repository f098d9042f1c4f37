package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// controlCmd adds the command that runs on the instances with a disk.
func controlCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("control", "Run a control instance, which keeps configurations and the owners' ledger.")
	path := c.Flag("settings", "INI file with the control instance's settings.").Required().String()
	return c.FullCommand(), func() error { return runControl(env, *path) }
}

func runControl(env *environment, path string) error {
	settings, err := configurer.LoadControl(path)
	if err != nil {
		return fmt.Errorf("read the settings of the control instance: %w", err)
	}
	instance, err := launcher.NewControl(settings, env.stderr)
	if err != nil {
		return fmt.Errorf("start the control instance: %w", err)
	}
	return instance.Run(env.ctx)
}
