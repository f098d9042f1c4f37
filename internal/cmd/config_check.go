package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// configCheckCmd adds the command that checks files without any control instance.
func configCheckCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("check", "Check a base file and its overlays, for every site.")
	files := command.Arg("files", "The base file and the overlays of all sites.").Required().Strings()
	return command.FullCommand(), func() error {
		doc, err := readDocument(env.stderr, *files)
		if err != nil {
			return err
		}
		words, err := describeDocument(doc)
		if err != nil {
			return err
		}
		fmt.Fprintf(env.stdout, "valid: %s\n", words)
		return nil
	}
}
