// Command harness runs the cases of the review: it starts the project's programs and the stand-ins
// around them, brings the disruption about and checks the rule.
//
//	harness CASE ROOT RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*fleet) error{
	"pipelined-config": pipelinedConfig,
	"stray-answer":     strayAnswer,
	"slow-body":        slowBody,
	"late-accept":      lateAccept,
	"split-voters":     splitVoters,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	err = cases[os.Args[1]](f)
	f.close()
	switch {
	case err == nil:
		f.rec.logf("result: the rule held")
	case errors.Is(err, errBroken):
		f.rec.logf("result: %v", err)
		os.Exit(1)
	default:
		f.rec.logf("result: could not run: %v", err)
		os.Exit(2)
	}
}
