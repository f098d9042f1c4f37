package cmd_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanscale/banyanscale/internal/cmd"
)

// runEventually waits at most eventuallyAttempts * eventuallyInterval = 30 s.
const (
	eventuallyAttempts = 150
	eventuallyInterval = 200 * time.Millisecond
)

// nextPort is the last port assigned to a script. Each port is assigned once.
var nextPort atomic.Uint32

func TestMain(m *testing.M) {
	nextPort.Store(7100)
	testscript.Main(m, map[string]func(){
		"banyanscale": func() { os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata/script. Besides the standard commands
// of testscript, a script may use these:
//
//	control ARG                               see runFakeControl
//	exits CODE COMMAND ARGS...                see runExits
//	eventually REGEXP COMMAND ARGS...         see runEventually
//	expand FILES...                           see runExpand
//	race COUNT REPLACES FILES...              see runRace
//	calls FILE                                see runCalls
//	await PREFIX METHOD ADDRESS HOST PATH     see runAwait
//	behave ADDRESS KIND                       see runBehave
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"control":    runFakeControl,
			"exits":      runExits,
			"eventually": runEventually,
			"expand":     runExpand,
			"race":       runRace,
			"calls":      runCalls,
			"await":      runAwait,
			"behave":     runBehave,
		},
		Setup: func(env *testscript.Env) error {
			folder, err := os.Getwd()
			env.Setenv("EXAMPLES", folder+"/../../examples")
			for i := range sessionAddresses {
				address := netip.AddrPortFrom(loopback(), uint16(nextPort.Add(1))).String()
				env.Setenv(fmt.Sprintf("ADDR%d", i), address)
				env.Setenv(fmt.Sprintf("VOTER%d", i), address)
			}
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

// loopback returns a loopback address derived from the process id, so that test
// processes running at the same time don't share ports.
func loopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
}

// runEventually repeats a command until its output matches a regular expression.
func runEventually(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[0])
	for range eventuallyAttempts {
		// The command may fail until the awaited state is reached.
		_ = ts.Exec(args[1], args[2:]...)
		if want.MatchString(ts.ReadFile("stdout") + ts.ReadFile("stderr")) {
			return
		}
		time.Sleep(eventuallyInterval)
	}
	ts.Fatalf("no output matched %s", want)
}

// runExpand replaces environment variables in files by their values.
func runExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// runRace submits files as COUNT concurrent changes that replace the same version,
// spread over three control instances. It fails unless exactly one change is
// accepted and all others report the winner.
func runRace(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	outputs := make([]bytes.Buffer, count)
	codes := make([]int, count)
	var wg sync.WaitGroup
	for i := range count {
		command := []string{"config", "submit", "--operator", "racer", "--message", "race",
			"--control", ts.Getenv(fmt.Sprintf("VOTER%d", 1+i%3)), "--change-id", fmt.Sprintf("race-%d", i), "--replaces", args[1]}
		for _, name := range args[2:] {
			command = append(command, ts.MkAbs(name))
		}
		wg.Go(func() { codes[i] = cmd.Run(command, &outputs[i], &outputs[i]) })
	}
	wg.Wait()
	winner := slices.Index(codes, 0)
	for i, code := range codes {
		sawWinner := strings.Contains(outputs[i].String(), fmt.Sprintf("change race-%d: race", winner))
		if i != winner && (code != 3 || !sawWinner) || winner < 0 {
			ts.Fatalf("operator %d, exit code %d, winner %d:\n%s", i, code, winner, outputs[i].String())
		}
	}
}
