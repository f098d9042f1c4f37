package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// RoundTrips holds the expected network round-trip times to instances, by location. The
// round trip to the node's own instance takes no time.
type RoundTrips struct {
	// SameDomain is the round trip within a failure domain.
	SameDomain time.Duration
	// OtherDomain is the round trip to another failure domain of the region.
	OtherDomain time.Duration
	// OtherRegion is the round trip to another region.
	OtherRegion time.Duration
}

// DefaultRoundTrips returns the default round-trip times. Between failure domains of a
// region each direction takes a millisecond.
func DefaultRoundTrips() RoundTrips {
	return RoundTrips{
		SameDomain:  200 * time.Microsecond,
		OtherDomain: 2 * time.Millisecond,
		OtherRegion: 60 * time.Millisecond,
	}
}

// roundTrip returns the expected network round-trip time to an instance.
func (p *Picker) roundTrip(in *registrar.Instance) time.Duration {
	switch {
	case in.ID() == p.self:
		return 0
	case in.Region() != p.region:
		return p.roundTrips.OtherRegion
	case in.FailureDomain() != p.domain:
		return p.roundTrips.OtherDomain
	default:
		return p.roundTrips.SameDomain
	}
}
