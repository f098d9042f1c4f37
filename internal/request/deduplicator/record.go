package deduplicator

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxRetention is the longest time for which a record is stored, as in the settings of
	// services.
	maxRetention = 24 * time.Hour
	// maxKeyLength limits the key of a record of another instance. Keys come from headers of
	// 1 MiB at most.
	maxKeyLength = 1 << 20
	// fieldBytes is the memory that a header field takes besides its name and value.
	fieldBytes = 64
	// lastStatus is the greatest status of three digits.
	lastStatus = 999
)

// errImpossible reports a message of another instance that cannot be true.
var errImpossible = errors.New("impossible record or incarnation")

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

// size returns the size of the header and the body in bytes, or 0 for a nil response.
func (r *Response) size() int {
	if r == nil {
		return 0
	}
	return len(r.Body) + r.headerSize()
}

// headerSize returns about how many bytes of memory the header takes.
func (r *Response) headerSize() int {
	size := 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return size
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

// bounded returns a record of another instance without what cannot be true in it. Its key stays
// taken: a run may have happened. It returns errImpossible for a key that no request has.
func (r Record) bounded(now time.Time) (Record, error) {
	if r.Key == "" || len(r.Key) > maxKeyLength {
		return Record{}, errors.Wrapf(errImpossible, "key of %d bytes", len(r.Key))
	}
	if latest := now.Add(maxRetention); r.Expires.After(latest) {
		r.Expires = latest
	}
	if r.Response != nil && (r.State != StateDone || r.Response.Status < http.StatusOK || r.Response.Status > lastStatus) {
		r.Response = nil
	}
	return r, nil
}
