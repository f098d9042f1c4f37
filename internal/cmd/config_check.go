package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// errNothingToCheck reports a check that was given no file.
var errNothingToCheck = &codedError{code: exitUsage, err: errors.New("give the files to check")}

// checkedFiles lists the files of one check.
type checkedFiles struct {
	env             *environment
	configuration   []string
	nodes, controls []string
}

// configCheckCmd adds the command that checks files without any control instance.
func configCheckCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("check", "Check a base file and its overlays for every site, and settings of daemons.")
	c := &checkedFiles{env: env}
	command.Flag("node-settings", "Settings of a node to check. May be repeated.").PlaceHolder("FILE").StringsVar(&c.nodes)
	command.Flag("control-settings", "Settings of a control instance to check. May be repeated.").PlaceHolder("FILE").StringsVar(&c.controls)
	command.Arg("files", "The base file and the overlays of all sites.").StringsVar(&c.configuration)
	return command.FullCommand(), c.check
}

// check checks all files, also after a fault.
func (c *checkedFiles) check() error {
	if len(c.configuration)+len(c.nodes)+len(c.controls) == 0 {
		return errNothingToCheck
	}
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	if len(c.configuration) > 0 {
		note(c.checkConfiguration())
	}
	for _, name := range c.nodes {
		_, err := configurer.LoadNode(name)
		note(c.report(name, err))
	}
	for _, name := range c.controls {
		_, err := configurer.LoadControl(name)
		note(c.report(name, err))
	}
	return first
}

func (c *checkedFiles) checkConfiguration() error {
	doc, err := readDocument(c.env.stderr, nil, c.configuration)
	if err != nil {
		return err
	}
	words, err := describeDocument(doc)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "valid: %s\n", words)
	return nil
}

// report prints what came out of a file with settings.
func (c *checkedFiles) report(name string, err error) error {
	var faults parser.Errors
	if errors.As(err, &faults) {
		fmt.Fprintln(c.env.stderr, faults)
		return errFaults
	}
	if err == nil {
		fmt.Fprintf(c.env.stdout, "valid: %s\n", name)
	}
	return err
}
