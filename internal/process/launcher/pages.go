package launcher

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"goji.io/pat"

	"github.com/banyanscale/banyanscale/internal/request/explainer"
)

// NodeStatus is the JSON form of a node's state and its view of the fleet.
type NodeStatus struct {
	Instance  string           `json:"instance"`
	State     string           `json:"state"`
	Version   uint64           `json:"version"`
	Site      string           `json:"site"`
	InFlight  int              `json:"in-flight"`
	Load      string           `json:"load"`
	Evacuated []string         `json:"evacuated,omitempty"`
	Cold      string           `json:"cold,omitempty"` // Why the own upstream counts as cold.
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is the JSON form of one instance as a node sees it.
type InstanceStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	snapshot := n.snapshots.Snapshot()
	status := NodeStatus{
		Instance: n.settings.Instance(),
		State:    n.gossiper.Self().State().String(),
		Site:     n.settings.Site(),
		InFlight: n.server.InFlight(),
		Load:     n.admitter.Load().String(),

		Evacuated: snapshot.View().Evacuation().Domains(),
		Cold:      n.coldLimiter.Status(time.Now()).String(),
	}
	if cfg := snapshot.Configuration(); cfg != nil {
		status.Version = cfg.Number()
	}
	for _, in := range snapshot.View().Instances() {
		status.Instances = append(status.Instances, InstanceStatus{
			ID: in.ID(), Service: in.Service(), FailureDomain: in.FailureDomain(),
			State: in.State().String(), Incarnation: in.Incarnation(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(status) // Fails only if the client disconnected.
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := n.explainer.WriteJSON(w, pat.Param(r, "id"))
	if errors.Is(err, explainer.ErrNotFound) {
		http.Error(w, "this node remembers no such request", http.StatusNotFound)
	}
}
