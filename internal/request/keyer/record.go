package keyer

import (
	"net/http"
	"time"
)

// State is the state of the first run of a key, as recorded by one instance.
type State string

const (
	// StateNone means that the instance has no record of the key.
	StateNone State = "none"
	// StateRunning means that the first run has not ended.
	StateRunning State = "running"
	// StateDone means that the upstream responded to the first run.
	StateDone State = "done"
	// StateUnknown means that the outcome of the first run is not known.
	StateUnknown State = "unknown"
	// StateMoved means that another instance has claimed the key.
	StateMoved State = "moved"
)

// Answer is the stored response of a first run.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// bodySize returns the size of the body in bytes, or 0 for a nil response.
func (a *Answer) bodySize() int {
	if a == nil {
		return 0
	}
	return len(a.Body)
}

// Record holds the state of one key at an instance. Instances exchange records as
// JSON.
type Record struct {
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	State       State       `json:"state"`
	// Response is nil if the run has not ended or its response was not stored.
	Response *Answer `json:"answer,omitempty"`
	// Expires is when the record may be removed.
	Expires time.Time `json:"expires"`
}
