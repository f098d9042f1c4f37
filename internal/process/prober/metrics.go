package prober

import "github.com/uber-go/tally/v4"

// metrics are the counters of a prober.
type metrics struct {
	probesSent          tally.Counter // Probes sent.
	responsesReceived   tally.Counter // Answers taken in.
	responsesSent       tally.Counter // Answers given.
	responsesWithheld   tally.Counter // Answers not given, for lack of budget.
	probesDeferred      tally.Counter // Times that a service's probe waited for budget.
	sendFailures        tally.Counter // Probes that the transport did not take.
	malformedDatagrams  tally.Counter // Datagrams that could not be understood.
	unexpectedDatagrams tally.Counter // Datagrams that were late or meant for another.
	chargedBytes        tally.Counter // Bytes charged to the budgets.
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{
		probesSent:          scope.Counter("probes-sent"),
		responsesReceived:   scope.Counter("probes-answered"),
		responsesSent:       scope.Counter("answers-sent"),
		responsesWithheld:   scope.Counter("answers-withheld"),
		probesDeferred:      scope.Counter("probes-deferred"),
		sendFailures:        scope.Counter("probes-failed"),
		malformedDatagrams:  scope.Counter("datagrams-malformed"),
		unexpectedDatagrams: scope.Counter("datagrams-unexpected"),
		chargedBytes:        scope.Counter("bytes-charged"),
	}
}
