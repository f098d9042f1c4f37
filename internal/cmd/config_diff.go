package cmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// errDiffUsage reports that the command was not told what to compare with.
var errDiffUsage = errors.New("give either --control or --against")

// configDiffCmd adds the command that tells what files would change at each site.
func configDiffCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("diff", "Tell what a base file and its overlays would change at each site.")
	flags := &controlFlags{}
	flags.add(command, false)
	against := command.Flag("against", "Compare with these files instead of the version in force. May be repeated.").Strings()
	files := command.Arg("files", "The base file and the overlays of all sites.").Required().Strings()
	return command.FullCommand(), func() error {
		if (flags.addresses == "") == (len(*against) == 0) {
			return errDiffUsage
		}
		next, err := readDocument(env.stderr, *files)
		if err != nil {
			return err
		}
		if len(*against) > 0 {
			return diffFiles(env, *against, next)
		}
		client, err := flags.client()
		if err != nil {
			return err
		}
		return diffCurrent(env, client, next)
	}
}

func diffFiles(env *environment, against []string, next *controlwire.Document) error {
	old, err := readDocument(env.stderr, against)
	if err != nil {
		return err
	}
	printScopes(env.stdout, compiler.Effects(old, next))
	return nil
}

func diffCurrent(env *environment, client controlClient, next *controlwire.Document) error {
	current, err := client.Current(env.ctx)
	if err != nil {
		return fmt.Errorf("read the version in force: %w", err)
	}
	printEffects(env.stdout, current.GetDigest().GetNumber(), compiler.Effects(current.GetDocument(), next))
	return nil
}

// printEffects prints what changes at each site against a version.
func printEffects(w io.Writer, number uint64, effects []compiler.Effect) {
	fmt.Fprintf(w, "against version %d:\n", number)
	printScopes(w, effects)
}

func printScopes(w io.Writer, effects []compiler.Effect) {
	if len(effects) == 0 {
		fmt.Fprintln(w, "no change in effect at any site")
		return
	}
	scope := ""
	for _, e := range effects {
		if e.Scope() != scope {
			scope = e.Scope()
			fmt.Fprintf(w, "%s:\n", scope)
		}
		fmt.Fprintf(w, "  %s\n", e)
	}
}
