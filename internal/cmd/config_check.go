package cmd

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// errWarnings reports that a strict check found warnings, which were printed before.
var errWarnings = errors.New("the files have warnings")

// errNoFilesToCheck reports a check without any file.
var errNoFilesToCheck = &exitError{code: exitUsage, err: errors.New("no files to check")}

// configCheck holds the files that one run of the command checks.
type configCheck struct {
	env                     *environment
	configFiles             []string
	nodeFiles, controlFiles []string
	control                 controlFlags
	strict                  bool
}

// configCheckCmd adds the command that checks files. It calls a control instance only to compare
// them with the version in force.
func configCheckCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("check", "Check a base file and its overlays for every site, and settings of daemons.")
	c := &configCheck{env: env}
	command.Flag("node-settings", "Settings file of a node to check. May be repeated.").PlaceHolder("FILE").StringsVar(&c.nodeFiles)
	command.Flag("control-settings", "Settings file of a control instance to check. May be repeated.").PlaceHolder("FILE").StringsVar(&c.controlFiles)
	command.Flag("strict", "Fail if there are warnings.").BoolVar(&c.strict)
	c.control.add(command, false)
	command.Arg("files", "The base file and the overlays of all sites.").StringsVar(&c.configFiles)
	return command.FullCommand(), c.run
}

// run checks all files, even after an error, and returns the first error.
func (c *configCheck) run() error {
	if len(c.configFiles)+len(c.nodeFiles)+len(c.controlFiles) == 0 {
		return errNoFilesToCheck
	}
	var firstErr error
	keepFirst := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	if len(c.configFiles) > 0 {
		keepFirst(c.checkConfiguration())
	}
	for _, name := range c.nodeFiles {
		_, err := configurer.LoadNode(name)
		keepFirst(c.report(name, err))
	}
	for _, name := range c.controlFiles {
		_, err := configurer.LoadControl(name)
		keepFirst(c.report(name, err))
	}
	return firstErr
}

func (c *configCheck) checkConfiguration() error {
	current, err := c.versionInForce()
	if err != nil {
		return err
	}
	doc, err := readDocument(c.env.stderr, current.GetDocument(), c.configFiles)
	if err != nil {
		return err
	}
	summary, err := summarizeDocument(doc)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "valid: %s\n", summary)
	warnings := compiler.Warnings(doc)
	for _, w := range warnings {
		fmt.Fprintf(c.env.stdout, "warning: %s\n", w)
	}
	if current != nil {
		printEffects(c.env.stdout, current.GetDigest().GetNumber(), compiler.Effects(current.GetDocument(), doc))
	}
	if c.strict && len(warnings) > 0 {
		return errWarnings
	}
	return nil
}

// versionInForce returns the version to compare with, or nil if no control instance is named.
func (c *configCheck) versionInForce() (*controlwire.Version, error) {
	if c.control.addresses == "" {
		return nil, nil
	}
	client, err := c.control.client()
	if err != nil {
		return nil, err
	}
	current, err := client.Current(c.env.ctx)
	if err != nil {
		return nil, fmt.Errorf("read the version in force: %w", err)
	}
	return current, nil
}

// report prints the result of checking a settings file.
func (c *configCheck) report(name string, err error) error {
	var parseErrs parser.Errors
	if errors.As(err, &parseErrs) {
		fmt.Fprintln(c.env.stderr, parseErrs)
		return errInvalidFiles
	}
	if err == nil {
		fmt.Fprintf(c.env.stdout, "valid: %s\n", name)
	}
	return err
}
