package prober

import "github.com/uber-go/tally/v4"

// metrics are the counters of a prober.
type metrics struct {
	sent       tally.Counter // Probes sent.
	answered   tally.Counter // Answers taken in.
	answers    tally.Counter // Answers given.
	withheld   tally.Counter // Answers not given, for lack of budget.
	deferred   tally.Counter // Probes that were due but not sent, for lack of budget.
	failed     tally.Counter // Probes that the transport did not take.
	malformed  tally.Counter // Datagrams that could not be understood.
	unexpected tally.Counter // Datagrams that were late or meant for another.
	bytes      tally.Counter // Bytes charged to the budgets.
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("prober")
	return metrics{
		sent:       s.Counter("probes-sent"),
		answered:   s.Counter("probes-answered"),
		answers:    s.Counter("answers-sent"),
		withheld:   s.Counter("answers-withheld"),
		deferred:   s.Counter("probes-deferred"),
		failed:     s.Counter("probes-failed"),
		malformed:  s.Counter("datagrams-malformed"),
		unexpected: s.Counter("datagrams-unexpected"),
		bytes:      s.Counter("bytes-charged"),
	}
}
