package launcher

import (
	"sync"
	"sync/atomic"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// evacuationState holds the evacuated failure domains that a node knows.
type evacuationState struct {
	current atomic.Pointer[registrar.Evacuation]

	mu   sync.Mutex      // Serializes the changes of the published view.
	view *registrar.View // The view without evacuations; nil before the first.
}

// setView applies a new view of the fleet.
func (n *Node) setView(view *registrar.View) {
	n.evacuation.mu.Lock()
	defer n.evacuation.mu.Unlock()
	n.evacuation.view = view
	n.publishView(view.WithEvacuation(n.evacuation.current.Load()))
}

// setEvacuation applies newer evacuated failure domains. Those of an older revision are
// ignored.
func (n *Node) setEvacuation(evacuation *controlwire.Evacuation) {
	next := registrar.NewEvacuation(evacuation.GetRevision(), evacuation.GetFailureDomains())
	n.evacuation.mu.Lock()
	previous := n.evacuation.current.Load()
	if next.Revision() <= previous.Revision() {
		n.evacuation.mu.Unlock()
		return
	}
	n.evacuation.current.Store(next)
	if n.evacuation.view != nil {
		n.publishView(n.evacuation.view.WithEvacuation(next))
	}
	n.evacuation.mu.Unlock()
	n.metrics.Scope().Gauge("evacuated_failure_domains").Update(float64(len(next.Domains())))
	own := n.settings.FailureDomain()
	n.log.Info().Uint64("revision", next.Revision()).Strs("evacuated", next.Domains()).
		Bool("own", next.Has(own)).Msg("Evacuated failure domains changed.")
	if previous.Has(own) && !next.Has(own) && n.onEvacuationEnded != nil {
		n.onEvacuationEnded()
	}
}

// upstreamEvacuated reports whether the failure domain of the node is evacuated.
func (n *Node) upstreamEvacuated() bool {
	return n.evacuation.current.Load().Has(n.settings.FailureDomain())
}
