package cmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// errDiffUsage reports that neither or both of --control and --against were given.
var errDiffUsage = errors.New("give either --control or --against")

// configDiffCmd adds the command that shows what edited files would change at
// each site.
func configDiffCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("diff", "Show what an edited base file or edited overlays would change at each site.")
	flags := &controlFlags{}
	flags.add(command, false)
	against := command.Flag("against", "Compare with these files instead of the version in force. May be repeated.").Strings()
	edit := &editFlags{}
	edit.add(command)
	return command.FullCommand(), func() error {
		if (flags.addresses == "") == (len(*against) == 0) {
			return errDiffUsage
		}
		if len(*against) > 0 {
			return diffFiles(env, *against, edit)
		}
		client, err := flags.client()
		if err != nil {
			return err
		}
		return diffCurrent(env, client, edit)
	}
}

func diffFiles(env *environment, against []string, edit *editFlags) error {
	old, err := readDocument(env.stderr, nil, against)
	if err != nil {
		return err
	}
	next, err := edit.apply(env.stderr, old)
	if err != nil {
		return err
	}
	printScopes(env.stdout, compiler.Effects(old, next))
	return nil
}

func diffCurrent(env *environment, client controlClient, edit *editFlags) error {
	current, err := client.Current(env.ctx)
	if err != nil {
		return fmt.Errorf("read the version in force: %w", err)
	}
	next, err := edit.apply(env.stderr, current.GetDocument())
	if err != nil {
		return err
	}
	printEffects(env.stdout, current.GetDigest().GetNumber(), compiler.Effects(current.GetDocument(), next))
	return nil
}

// printEffects prints the changes at each site against the version number.
func printEffects(w io.Writer, number uint64, effects []compiler.Effect) {
	fmt.Fprintf(w, "against version %d:\n", number)
	printScopes(w, effects)
}

// printScopes prints the effects, which are ordered by scope, under a heading for
// each scope.
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
