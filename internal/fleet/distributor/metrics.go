package distributor

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of a Distributor.
type metrics struct {
	fetches, fetchFailures, deltas, rejected tally.Counter
	initializedByControl, initializedByPeers tally.Counter
	version                                  tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		fetches:              scope.Counter("version_fetches"),
		fetchFailures:        scope.Counter("version_fetch_failures"),
		deltas:               scope.Counter("version_deltas"),
		rejected:             scope.Counter("versions_refused"),
		initializedByControl: scope.Counter("versions_settled_by_control"),
		initializedByPeers:   scope.Counter("versions_settled_by_peers"),
		version:              scope.Gauge("version_in_force"),
	}
}
