package distributor

import (
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/telemetry/exporter"
)

// metrics holds the metrics of a Distributor.
type metrics struct {
	fetches, fetchFailures, deltas, rejected tally.Counter
	initializedByControl, initializedByPeers tally.Counter
	unusableDeltas, fetchedBytes, superseded tally.Counter
	version                                  tally.Gauge
	lags, adoptions                          tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		fetches:              scope.Counter("version_fetches"),
		fetchFailures:        scope.Counter("version_fetch_failures"),
		deltas:               scope.Counter("version_deltas"),
		rejected:             scope.Counter("versions_refused"),
		initializedByControl: scope.Counter("versions_settled_by_control"),
		initializedByPeers:   scope.Counter("versions_settled_by_peers"),
		unusableDeltas:       scope.Counter("version_deltas_unusable"),
		fetchedBytes:         scope.Counter("version_fetched_bytes"),
		superseded:           scope.Counter("version_fetches_superseded"),
		version:              scope.Gauge("version_in_force"),
		lags:                 scope.Histogram("version_lag", exporter.LatencyBuckets),
		adoptions:            scope.Histogram("version_adoption", exporter.LatencyBuckets),
	}
}
