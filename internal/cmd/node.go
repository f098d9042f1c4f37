package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// nodeCmd adds the command that runs beside each upstream.
func nodeCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("node", "Run the process beside one upstream.")
	path := c.Flag("settings", "INI file with the node's settings.").Required().String()
	return c.FullCommand(), func() error { return runNode(env, *path) }
}

func runNode(env *environment, path string) error {
	settings, err := configurer.LoadNode(path)
	if err != nil {
		return fmt.Errorf("read the settings of the node: %w", err)
	}
	n, err := launcher.NewNode(settings, env.stderr)
	if err != nil {
		return fmt.Errorf("start the node: %w", err)
	}
	return n.Run(env.ctx)
}
