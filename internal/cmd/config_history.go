package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// errHistoryOld reports that the printed history may lack the latest changes.
var errHistoryOld = errors.New("the history may lack newer changes")

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
		return printHistory(env, client, *limit)
	}
}

// printHistory prints the history of one control instance. It fails if newer
// changes than that instance knows may have been accepted.
func printHistory(env *environment, client controlClient, limit uint32) error {
	entries, err := client.History(env.ctx, limit)
	for _, e := range entries {
		printHistoryEntry(env.stdout, e)
	}
	if err != nil && len(entries) > 0 {
		return fmt.Errorf("%w: %w", errHistoryOld, err)
	}
	if err != nil {
		return fmt.Errorf("read the history: %w", err)
	}
	current, err := client.Current(env.ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errHistoryOld, err)
	}
	if number := current.GetDigest().GetNumber(); newestOf(entries) < number {
		return fmt.Errorf("%w: version %d is in force", errHistoryOld, number)
	}
	return nil
}
