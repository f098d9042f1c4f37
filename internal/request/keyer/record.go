package keyer

import (
	"net/http"
	"time"
)

// State is what is known of the first run of a key.
type State string

const (
	// StateNone means that the key was not seen.
	StateNone State = "none"
	// StateRunning means that the first run has not ended.
	StateRunning State = "running"
	// StateDone means that the first run was answered.
	StateDone State = "done"
	// StateUnknown means that it is not known how the first run ended.
	StateUnknown State = "unknown"
	// StateMoved means that another instance has claimed the key.
	StateMoved State = "moved"
)

// Answer is a stored answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.Body)
}

// Record is what an instance knows of one key. Its JSON form is what
// instances hand to each other.
type Record struct {
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	State       State       `json:"state"`
	// Answer is nil if it was too large to keep.
	Answer *Answer `json:"answer,omitempty"`
	// Expires is when the key may be forgotten.
	Expires time.Time `json:"expires"`
}
