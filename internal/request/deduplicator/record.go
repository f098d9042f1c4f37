package deduplicator

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

// Response is the stored response of a first run.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// bodySize returns the size of the body in bytes, or 0 for a nil response.
func (r *Response) bodySize() int {
	if r == nil {
		return 0
	}
	return len(r.Body)
}

// Record holds the state of one key at an instance. Instances exchange records as
// JSON.
type Record struct {
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	State       State       `json:"state"`
	// Response is nil if the run has not ended or its response was not stored.
	Response *Response `json:"answer,omitempty"`
	// Expires is when the record may be removed.
	Expires time.Time `json:"expires"`
}
