package compiler

import "github.com/banyanscale/banyanscale/internal/version/parser"

// priorityNames maps each priority to its name.
var priorityNames = []string{PriorityLow: "low", PriorityNormal: "normal", PriorityHigh: "high"}

// ParsePriority returns the priority with the given name, or PriorityNormal and an
// error if there is none.
func ParsePriority(name string) (Priority, error) {
	for p, known := range priorityNames {
		if name == known {
			return Priority(p), nil
		}
	}
	_, err := parser.OneOf(name, priorityNames)
	return PriorityNormal, err
}

// String returns the name of the priority.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return "unknown"
	}
	return priorityNames[p]
}
