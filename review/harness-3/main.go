// Command harness runs one case of the independent review: it starts the project's programs as a
// small deployment on loopback addresses, with stand-ins for the platform, the targets and the
// clients, and checks one rule.
//
// Usage: harness CASE FOLDER. TROUBLE=0 leaves the disruption out. The exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// A caseFunc plays a case and returns what broke the rule. Its error says why it could not run.
type caseFunc func(f *fleet, trouble bool) (breaks []string, err error)

// cases holds the cases by their names.
var cases = map[string]caseFunc{}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: harness CASE FOLDER; cases: %v\n", names)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.notef("could not run: %v", err)
		return 2
	}
	defer f.stop()
	breaks, err := cases[args[0]](f, trouble)
	if err != nil {
		rec.notef("could not run: %v", err)
		if !errors.Is(err, errKeepQuiet) {
			fmt.Fprintln(os.Stderr, err)
		}
		return 2
	}
	if len(breaks) > 0 {
		for _, b := range breaks {
			rec.notef("BROKEN %s", b)
		}
		return 1
	}
	rec.notef("the rule held")
	return 0
}

// errKeepQuiet is an error that only the record has.
var errKeepQuiet = errors.New("not run")
