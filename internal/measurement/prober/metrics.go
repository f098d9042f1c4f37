package prober

import "github.com/uber-go/tally/v4"

// metrics are the counters of a prober.
type metrics struct {
	probesSent          tally.Counter // Probes sent.
	responsesReceived   tally.Counter // Responses received and accepted.
	responsesSent       tally.Counter // Responses sent to others.
	responsesWithheld   tally.Counter // Responses not sent for lack of budget.
	probesDeferred      tally.Counter // Probes delayed or left out for lack of budget.
	sendFailures        tally.Counter // Probes that the transport failed to send.
	malformedDatagrams  tally.Counter // Datagrams that could not be decoded.
	unexpectedDatagrams tally.Counter // Late, repeated or misdirected datagrams.
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
