package distributor

import "github.com/uber-go/tally/v4"

// metrics counts what the distributor does.
type metrics struct {
	fetches, fetchFailures, deltas, refused tally.Counter
	settledByControl, settledByPeers        tally.Counter
	version                                 tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		fetches:          scope.Counter("version_fetches"),
		fetchFailures:    scope.Counter("version_fetch_failures"),
		deltas:           scope.Counter("version_deltas"),
		refused:          scope.Counter("versions_refused"),
		settledByControl: scope.Counter("versions_settled_by_control"),
		settledByPeers:   scope.Counter("versions_settled_by_peers"),
		version:          scope.Gauge("version_in_force"),
	}
}
