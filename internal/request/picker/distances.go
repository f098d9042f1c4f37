package picker

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// Distances are the times that a request and its answer spend on the way to an
// instance, by where it is. The way to the own instance takes none.
type Distances struct {
	// SameDomain is the round trip within a failure domain.
	SameDomain time.Duration
	// OtherDomain is the round trip to another failure domain of the region.
	OtherDomain time.Duration
	// OtherRegion is the round trip to another region.
	OtherRegion time.Duration
}

// DefaultDistances returns the distances that hold unless set: a millisecond
// each way between failure domains.
func DefaultDistances() Distances {
	return Distances{
		SameDomain:  200 * time.Microsecond,
		OtherDomain: 2 * time.Millisecond,
		OtherRegion: 60 * time.Millisecond,
	}
}

// distance returns the distance to an instance.
func (p *Picker) distance(in *registrar.Instance) time.Duration {
	switch {
	case in.ID() == p.self:
		return 0
	case in.Region() != p.region:
		return p.distances.OtherRegion
	case in.FailureDomain() != p.domain:
		return p.distances.OtherDomain
	default:
		return p.distances.SameDomain
	}
}
