package prober

import "github.com/uber-go/tally/v4"

// metrics are the counters of a prober.
type metrics struct {
	sent       tally.Counter // Probes sent.
	answered   tally.Counter // Answers taken in.
	answers    tally.Counter // Answers given.
	withheld   tally.Counter // Answers not given, for lack of budget.
	deferred   tally.Counter // Times that a service's probe waited for budget.
	failed     tally.Counter // Probes that the transport did not take.
	malformed  tally.Counter // Datagrams that could not be understood.
	unexpected tally.Counter // Datagrams that were late or meant for another.
	bytes      tally.Counter // Bytes charged to the budgets.
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{
		sent:       scope.Counter("probes-sent"),
		answered:   scope.Counter("probes-answered"),
		answers:    scope.Counter("answers-sent"),
		withheld:   scope.Counter("answers-withheld"),
		deferred:   scope.Counter("probes-deferred"),
		failed:     scope.Counter("probes-failed"),
		malformed:  scope.Counter("datagrams-malformed"),
		unexpected: scope.Counter("datagrams-unexpected"),
		bytes:      scope.Counter("bytes-charged"),
	}
}
