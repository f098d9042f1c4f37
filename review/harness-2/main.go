// Command harness-2 plays a case of the review: it is the platform, the targets, the clients and the
// operator around the project's own programs.
//
// Usage: harness-2 CASE RECORD, in the root of the repository. With TROUBLE=0 in the environment it
// leaves the disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names. trouble is false if the disruption is left out.
var cases = map[string]func(rec *recorder, trouble bool) error{
	"start":   playStart,
	"version": playVersion,
	"host":    playHost,
	"replace": playReplace,
	"memory":  playMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", name, trouble)
	err = cases[name](rec, trouble)
	switch {
	case err == nil:
		rec.add("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.add("result: %v", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.add("result: could not run: %v", err)
	fmt.Println("could not run:", err)
	return exitNotRun
}

// recorder writes the record of a case.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
