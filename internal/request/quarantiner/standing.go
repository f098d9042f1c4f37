package quarantiner

// Standing is how a request is treated for the crashes in which it was in flight.
type Standing uint8

const (
	// Clear means that the request runs like any other.
	Clear Standing = iota
	// Suspected means that the request runs, but not beside another suspected one.
	Suspected
	// OnTrial means that the request runs at one instance of its service only, and not beside a
	// suspected one: until it has run apart, or after a quarantine has ended.
	OnTrial
	// Quarantined means that the request does not run.
	Quarantined
)

var standingNames = [...]string{Clear: "clear", Suspected: "suspected", Quarantined: "quarantined", OnTrial: "on-trial"}

// String returns the name of the standing.
func (s Standing) String() string {
	if int(s) >= len(standingNames) {
		return standingNames[Clear]
	}
	return standingNames[s]
}
