package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// evacuateStatusCmd adds the command that shows the evacuated failure domains.
func evacuateStatusCmd(app *kingpin.Application, env *environment) (string, action) {
	command := evacuateCommand(app).Command("status", "Show the evacuated failure domains and the capacity that is left.")
	flags := &controlFlags{}
	flags.add(command, true)
	return command.FullCommand(), func() error {
		client, err := flags.evacuationClient()
		if err != nil {
			return err
		}
		resp, err := client.ReadEvacuation(env.ctx, &controlwire.ReadEvacuationRequest{})
		if err != nil {
			return fmt.Errorf("read the evacuated failure domains: %w", err)
		}
		printEvacuation(env.stdout, resp.GetEvacuation())
		return printCapacity(env.stdout, resp.GetCapacity())
	}
}
