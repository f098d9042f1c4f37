package coldlimiter

import (
	"fmt"
	"time"
)

// Status describes whether and why the upstream counts as cold.
type Status struct {
	// Cold reports whether the limit is in force.
	Cold bool
	// Cause is why.
	Cause Cause
	// Remaining is the stated rest of the cold start; 0 if it is unknown.
	Remaining time.Duration
}

// String returns the cause, with the stated rest of the cold start if that is known; it is
// empty if the upstream does not count as cold.
func (s Status) String() string {
	if s.Remaining == 0 {
		return string(s.Cause)
	}
	return fmt.Sprintf("%s, %s left", s.Cause, s.Remaining.Round(time.Millisecond))
}
