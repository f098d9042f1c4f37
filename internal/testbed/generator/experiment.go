// Package generator sends open-loop load and measures what callers see.
//
// # Usage
//
//	g := generator.New(experiment, client, os.Stderr)
//	result, err := g.Run(ctx)
//
// Requests start at times drawn from a Poisson process, independent of the
// responses to earlier ones. Latency is measured from the scheduled start of a
// request, so that requests delayed by a stalled server count as slow
// (coordinated omission is avoided).
//
// Each response is verified: a stand-in upstream echoes the id of the request
// and a digest of its body, and the bytes of its guides are known. After the
// run, the execution counts of the stand-ins show whether a request with the
// outcome "not-run" was executed.
package generator

import "time"

// Phase is a part of an experiment with a constant mean rate.
type Phase struct {
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the length of the phase.
	Duration time.Duration
}

// Mix is one kind of request.
type Mix struct {
	// Name identifies the mix in the result.
	Name string
	// Targets are base URLs that override those of the experiment.
	Targets []string
	// Weight is the mix's share of the requests, relative to the other mixes.
	Weight float64
	// Method, Host and Path are those of the request.
	Method, Host, Path string
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Priority is the request's priority class; empty for the service's default.
	Priority string
	// Timeout is the request's deadline.
	Timeout time.Duration
	// Keyed adds an idempotency key to each request.
	Keyed bool
}

// Experiment describes the load to send and the faults to set meanwhile.
type Experiment struct {
	// Name identifies the experiment in results and plots.
	Name string
	// Targets are the base URLs from which one is picked at random for each request.
	Targets []string
	// StandIns are the base URLs of the stand-in upstreams whose executions are checked.
	StandIns []string
	// Behaviors are the behaviors that are set on stand-ins during the experiment.
	Behaviors []Behavior
	// Warmup is the time before the first phase in which requests are sent but
	// not measured.
	Warmup time.Duration
	// Phases run one after another.
	Phases []Phase
	// Mixes are the kinds of requests, drawn at random by weight.
	Mixes []Mix
	// Seed makes the schedule reproducible.
	Seed uint64
}

// Behavior sets a behavior on a stand-in at a point in time.
type Behavior struct {
	// At is the time since the end of the warmup.
	At time.Duration
	// StandIn is the stand-in's base URL.
	StandIn string
	// Form is the URL-encoded body of the request to the behavior endpoint.
	Form string
}

// Duration returns the total duration of the phases, without the warmup.
func (e *Experiment) Duration() time.Duration {
	var d time.Duration
	for _, p := range e.Phases {
		d += p.Duration
	}
	return d
}
