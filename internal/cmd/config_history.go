package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// errHistoryIncomplete reports that the printed history may lack the latest changes.
var errHistoryIncomplete = errors.New("the history may lack newer changes")

// configHistoryCmd adds the command that shows who changed what and when.
func configHistoryCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("history", "Show who changed what and when, newest first.")
	flags := &controlFlags{}
	flags.add(command, true)
	limit := command.Flag("limit", "Maximum number of changes to show; 0 for all that are kept.").Default("20").Uint32()
	return command.FullCommand(), func() error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		return printHistory(env, client, *limit)
	}
}

// printHistory prints the history of one control instance. It returns an error if
// the history may lack changes that were accepted.
func printHistory(env *environment, client controlClient, limit uint32) error {
	entries, err := client.History(env.ctx, limit)
	for _, e := range entries {
		printHistoryEntry(env.stdout, e)
	}
	if err != nil && len(entries) > 0 {
		return fmt.Errorf("%w: %w", errHistoryIncomplete, err)
	}
	if err != nil {
		return fmt.Errorf("read the history: %w", err)
	}
	current, err := client.Current(env.ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errHistoryIncomplete, err)
	}
	if number := current.GetDigest().GetNumber(); newestNumber(entries) < number {
		return fmt.Errorf("%w: version %d is in force", errHistoryIncomplete, number)
	}
	return nil
}
