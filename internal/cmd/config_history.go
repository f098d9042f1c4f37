package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// configHistoryCmd adds the command that tells who changed what and when.
func configHistoryCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("history", "Tell who changed what and when, newest first.")
	flags := &controlFlags{}
	flags.add(command, true)
	limit := command.Flag("limit", "Largest number of changes to show; 0 for all kept.").Default("20").Uint32()
	return command.FullCommand(), func() error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		entries, err := client.History(env.ctx, *limit)
		if err != nil {
			return fmt.Errorf("read the history: %w", err)
		}
		for _, e := range entries {
			printHistoryEntry(env.stdout, e)
		}
		return nil
	}
}
