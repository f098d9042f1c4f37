package cmd

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// controlCmd adds the command that runs a control instance, which needs a disk.
func controlCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("control", "Run a control instance, which stores the configuration and the owners' ledger.")
	path := c.Flag("settings", "INI file with the control instance's settings.").Required().String()
	return c.FullCommand(), func() error { return launcher.RunControl(env.ctx, *path, env.stdout, nil) }
}
