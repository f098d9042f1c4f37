package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// evacuateStartCmd adds the command that evacuates a failure domain.
func evacuateStartCmd(app *kingpin.Application, env *environment) (string, action) {
	command := evacuateCommand(app).Command("start", "Send nothing more to the upstreams of a failure domain.")
	flags := &controlFlags{}
	flags.add(command, true)
	dryRun := command.Flag("dry-run", "Order nothing; print the capacity that each service would have left.").Bool()
	force := command.Flag("force", "Accept a failure domain that no instance and no overlay names.").Bool()
	domain := command.Arg("failure-domain", "Name of the failure domain.").Required().String()
	return command.FullCommand(), func() error {
		client, err := flags.evacuationClient()
		if err != nil {
			return err
		}
		if *dryRun {
			return printAssumedCapacity(env, client, *domain)
		}
		resp, err := client.StartEvacuation(env.ctx, &controlwire.EvacuationRequest{FailureDomain: *domain, Unverified: *force})
		if err != nil {
			return fmt.Errorf("evacuate %s: %w", *domain, err)
		}
		printEvacuation(env.stdout, resp.GetEvacuation())
		return nil
	}
}

// printAssumedCapacity prints the capacity that each service would have left if a failure domain
// were evacuated too.
func printAssumedCapacity(env *environment, client *failoverClient, domain string) error {
	resp, err := client.ReadEvacuation(env.ctx, &controlwire.ReadEvacuationRequest{Assumed: []string{domain}})
	if err != nil {
		return fmt.Errorf("read the evacuated failure domains: %w", err)
	}
	printEvacuation(env.stdout, resp.GetEvacuation())
	fmt.Fprintf(env.stdout, "with %s:\n", domain)
	return printCapacity(env.stdout, resp.GetCapacity())
}
