package cmd

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// nodeCmd adds the command that runs the node of one upstream.
func nodeCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("node", "Run the node of one upstream.")
	path := c.Flag("settings", "INI file with the node's settings.").Required().String()
	return c.FullCommand(), func() error {
		return launcher.RunNode(env.ctx, *path, env.stdout, func(*configurer.Node) (launcher.Dialect, error) {
			return launcher.Dialect{}, nil
		})
	}
}
