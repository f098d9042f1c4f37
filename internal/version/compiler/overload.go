package compiler

import "github.com/banyanscale/banyanscale/internal/version/parser"

// Overload is what decides which requests of a service wait or are refused beyond the
// capacity of an instance.
type Overload uint8

const (
	// OverloadArrivalOrder serves requests of a priority in order of arrival or of their
	// latency goals. It is the default.
	OverloadArrivalOrder Overload = iota
	// OverloadLeastCost delays and refuses those requests that cost callers least.
	OverloadLeastCost
)

// overloadNames maps each Overload to its name.
var overloadNames = []string{OverloadArrivalOrder: "arrival-order", OverloadLeastCost: "least-cost"}

// String returns the name in a configuration.
func (o Overload) String() string { return overloadNames[o] }

func setOverload(s *ServiceSpec, value string) error {
	name, err := parser.OneOf(value, overloadNames)
	if err != nil {
		return err
	}
	for o, known := range overloadNames {
		if name == known {
			s.Overload = Overload(o)
		}
	}
	return nil
}

func getOverload(s *ServiceSpec) string { return s.Overload.String() }
