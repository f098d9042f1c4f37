package compiler

import "github.com/banyanscale/banyanscale/internal/version/parser"

// priorityNames lists the names of the classes in their order.
var priorityNames = []string{PriorityLow: "low", PriorityNormal: "normal", PriorityHigh: "high"}

// ParsePriority returns the class with the given name.
func ParsePriority(name string) (Priority, error) {
	for p, known := range priorityNames {
		if name == known {
			return Priority(p), nil
		}
	}
	_, err := parser.OneOf(name, priorityNames)
	return PriorityNormal, err
}

// String returns the name of the class.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return "unknown"
	}
	return priorityNames[p]
}
