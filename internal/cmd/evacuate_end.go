package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// evacuateEndCmd adds the command that ends the evacuation of a failure domain.
func evacuateEndCmd(app *kingpin.Application, env *environment) (string, action) {
	command := evacuateCommand(app).Command("end", "Use the upstreams of a failure domain again.")
	flags := &controlFlags{}
	flags.add(command, true)
	domain := command.Arg("failure-domain", "Name of the failure domain.").Required().String()
	return command.FullCommand(), func() error {
		client, err := flags.evacuationClient()
		if err != nil {
			return err
		}
		resp, err := client.EndEvacuation(env.ctx, &controlwire.EvacuationRequest{FailureDomain: *domain})
		if err != nil {
			return fmt.Errorf("end the evacuation of %s: %w", *domain, err)
		}
		printEvacuation(env.stdout, resp.GetEvacuation())
		return nil
	}
}
