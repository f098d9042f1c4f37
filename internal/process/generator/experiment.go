// Package generator sends open-loop load and measures what callers see.
//
// # Usage
//
//	g := generator.New(experiment, client, os.Stderr)
//	result, err := g.Run(ctx)
//
// Requests start at times drawn in advance from a Poisson process, whether or
// not earlier ones have been answered. Latency counts from the time at which
// a request should have started, so that a stalled server cannot hide behind
// requests that were never sent.
//
// Each answer is checked: a stand-in upstream echoes the id of the request
// and a digest of its body, and the bytes of its guides are known. Each
// request that was told "not-run" is looked up at the stand-ins afterwards.
package generator

import "time"

// Phase is a stretch of an experiment with a constant mean rate.
type Phase struct {
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is how long the phase lasts.
	Duration time.Duration
}

// Mix is one kind of request.
type Mix struct {
	// Name names the kind in the result.
	Name string
	// Targets are the base URLs that the kind is sent to, instead of the experiment's.
	Targets []string
	// Weight is the kind's share of the requests, relative to the other kinds.
	Weight float64
	// Method, Host and Path are those of the request.
	Method, Host, Path string
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Priority is the request's priority class; empty for the service's own.
	Priority string
	// Timeout is the request's deadline.
	Timeout time.Duration
	// Keyed adds an idempotency key to each request.
	Keyed bool
}

// Experiment is a whole schedule of load.
type Experiment struct {
	// Name names the experiment in results and plots.
	Name string
	// Targets are the base URLs that requests are sent to, at random.
	Targets []string
	// StandIns are the base URLs of the stand-in upstreams whose executions are checked.
	StandIns []string
	// Behaviors are the faults that are set on stand-ins in the course of the experiment.
	Behaviors []Behavior
	// Warmup is how long requests are sent before they count.
	Warmup time.Duration
	// Phases follow each other.
	Phases []Phase
	// Mixes are drawn from by weight.
	Mixes []Mix
	// Seed makes the schedule repeatable.
	Seed uint64
}

// Behavior sets a behavior on a stand-in at a point in time.
type Behavior struct {
	// At is the time since the end of the warmup.
	At time.Duration
	// StandIn is the stand-in's base URL.
	StandIn string
	// Query is the form that the stand-in's behavior endpoint takes.
	Query string
}

// Duration returns how long the phases last in all, without the warmup.
func (e *Experiment) Duration() time.Duration {
	var d time.Duration
	for _, p := range e.Phases {
		d += p.Duration
	}
	return d
}
