package crashwatcher

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// Ending is how a run ended at the node beside the upstream.
type Ending uint8

const (
	// Responded means that the upstream has responded.
	Responded Ending = iota
	// NotRun means that the upstream refused the request or did not get it.
	NotRun
	// Unreachable means that the upstream accepted no connection.
	Unreachable
	// Broken means that the connection broke before the end of the response.
	Broken
	// Abandoned means that the request ended otherwise, such as by its deadline or its caller.
	Abandoned
)

// Run is one run of a request at the upstream.
type Run struct {
	watcher   *Watcher
	request   *fingerprinter.Request
	id        string // The id of the request, for the log.
	startedAt time.Time
}

// End records how the run ended. It must be called once.
func (r *Run) End(ending Ending) {
	switch ending {
	case Responded:
		r.watcher.responded(r)
	case Unreachable:
		r.watcher.unreachable()
	case Broken:
		r.watcher.broken(r)
	case Abandoned:
		r.watcher.abandoned(r)
	}
}
