package cmd_test

import (
	"os"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanscale/banyanscale/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"banyanscale": func() { os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the sessions of testdata. Besides the usual commands, a
// script may use "control" (see fakeControl) and "exits CODE COMMAND ARGS...".
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"control": runFakeControl,
			"exits":   runExits,
		},
		Setup: func(env *testscript.Env) error {
			examples, err := os.Getwd()
			env.Setenv("EXAMPLES", examples+"/../../examples")
			return err
		},
	})
}

// runExits runs a command and fails unless it ends with the given exit code.
func runExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var exit interface{ ExitCode() int }
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}
