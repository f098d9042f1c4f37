package server

import (
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// evacuationRefusal returns a refusal if the failure domain of the instance is evacuated. It
// answers requests of nodes that have not learned of the evacuation yet, and those that were
// queued when it began.
func (s *Server) evacuationRefusal() *refuser.Refusal {
	if s.cfg.Evacuated == nil || !s.cfg.Evacuated() {
		return nil
	}
	return refuser.New(classifier.NotRun, classifier.ReasonEvacuated)
}
