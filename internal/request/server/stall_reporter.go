package server

import (
	"net/http"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// stalledHeader is the header of a report. It is shared by all responses and must not be
// modified.
var stalledHeader = http.Header{classifier.HeaderStalled: {"1"}}

// informationalWriter is an http.ResponseWriter that can send informational responses
// after its status was set, as long as the head was not written.
type informationalWriter interface {
	// WriteInformational sends an informational response unless the head was written, and
	// reports whether it did.
	WriteInformational(status int, header http.Header) bool
}

// stallReporter tells the entry node that the upstream has begun to respond, but makes no
// progress. The entry node decides whether to wait.
type stallReporter struct {
	w        http.ResponseWriter
	streamed bool // The request body is streamed.
	// responding is set before the head of the response is written, reported once the
	// entry node was told.
	responding, reported bool
}

// report is the requester.StallHandler of an exchange. It ends an exchange only if a
// request that is held completely could not be sent.
func (s *stallReporter) report(sending bool) bool {
	if sending {
		return !s.streamed
	}
	if !s.reported {
		s.reported = true
		s.tell()
	}
	return false
}

// tell sends a 102 response, or the head of the response if that was written before. An
// error recurs at the next write.
func (s *stallReporter) tell() {
	if w, ok := s.w.(informationalWriter); ok && w.WriteInformational(http.StatusProcessing, stalledHeader) {
		return
	}
	if s.responding {
		_ = http.NewResponseController(s.w).Flush()
		return
	}
	h := s.w.Header()
	h[classifier.HeaderStalled] = stalledHeader[classifier.HeaderStalled]
	s.w.WriteHeader(http.StatusProcessing)
	delete(h, classifier.HeaderStalled)
}
