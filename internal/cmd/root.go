// Package cmd implements the commands of the banyanscale program, one file each.
//
// # Usage
//
//	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command is a function that adds the command to the application and returns
// its name and action. Errors are printed to the error stream and end the program
// with exitFailure, or with the code that the error's method ExitCode returns;
// wrong usage ends it with exitUsage.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitConflict means that another change replaced the same version.
	exitConflict = 3
	// exitUnknown means that a change may or may not have been accepted.
	exitUnknown = 4
)

// environment holds the context and the output streams of a command.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// action runs one command.
type action func() error

// commands lists the functions that add a command each, in the order of the help text.
var commands = []func(*kingpin.Application, *environment) (string, action){
	controlCmd,
	nodeCmd,
	statusCmd,
	explainCmd,
	quarantineCmd,
	evacuateStartCmd,
	evacuateEndCmd,
	evacuateStatusCmd,
	quotaCmd,
	standInCmd,
	proxyCmd,
	loadCmd,
	configCheckCmd,
	configDiffCmd,
	configSubmitCmd,
	configShowCmd,
	configHistoryCmd,
	costCmd,
}

// Run executes the command given by args and returns the program's exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	env := &environment{ctx: ctx, stdout: stdout, stderr: stderr}
	app := kingpin.New("banyanscale", "A load balancer for servers whose load shifts within milliseconds.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	actions := make(map[string]action, len(commands))
	for _, add := range commands {
		name, act := add(app, env)
		actions[name] = act
	}
	name, err := app.Parse(args)
	if terminated {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "banyanscale: %v\n", err)
		return exitUsage
	}
	if err := actions[name](); err != nil {
		fmt.Fprintf(stderr, "banyanscale: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit code that err determines, or exitFailure.
func exitCode(err error) int {
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailure
}
