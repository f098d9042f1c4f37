package quotakeeper

import "github.com/uber-go/tally/v4"

// metrics counts events of a Keeper over all organisations.
type metrics struct {
	refused   tally.Counter // Requests without room.
	leased    tally.Counter // Requests that were taken from leases.
	asks      tally.Counter // Asks sent, also again.
	abandoned tally.Counter // Asks without an answer.
	malformed tally.Counter
	sentBytes tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		refused:   scope.Counter("refused"),
		leased:    scope.Counter("leased"),
		asks:      scope.Counter("asks"),
		abandoned: scope.Counter("asks_abandoned"),
		malformed: scope.Counter("malformed"),
		sentBytes: scope.Counter("sent_bytes"),
	}
}
