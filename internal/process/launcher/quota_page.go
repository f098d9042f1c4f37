package launcher

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"goji.io"
	"goji.io/pat"
)

const (
	// QuotaPath is the path of the page about the quotas of organisations.
	QuotaPath = "/quota"
	// maxQuotaEntries bounds the organisations on the page.
	maxQuotaEntries = 1000
)

// QuotaStatus is the JSON form of what a process knows of quotas.
type QuotaStatus struct {
	// Grantor is the peer address of the control instance that grants, or empty.
	Grantor string `json:"grantor"`
	// Grants reports whether it is this process.
	Grants bool `json:"grants"`
	// LeasesKnown reports whether a control instance that grants knows all leases, and Nodes is
	// the number of nodes that ask it.
	LeasesKnown bool `json:"leases-known,omitempty"`
	Nodes       int  `json:"nodes,omitempty"`
	// Answered reports whether the asks of a node are answered, and LeaseLeftMS is the time until
	// its leases end without another answer, in milliseconds.
	Answered    bool  `json:"answered,omitempty"`
	LeaseLeftMS int64 `json:"lease-left-ms,omitempty"`
	// Organisations are those with recent requests, the ones with the most first.
	Organisations []QuotaEntry `json:"organisations"`
}

// QuotaEntry is the JSON form of the quota of one organisation. Rates are in requests a second.
// Lease, Demand and Tokens are those of a node, or of all nodes together at the control instance
// that grants; Served and Refused are counted at nodes only.
type QuotaEntry struct {
	Organisation string  `json:"organisation"`
	Limit        float64 `json:"limit"`
	Lease        float64 `json:"lease"`
	Demand       float64 `json:"demand"`
	Tokens       float64 `json:"tokens"`
	Served       int64   `json:"served"`
	Refused      int64   `json:"refused"`
}

// mountQuota adds the page to the handler for operators.
func (n *Node) mountQuota(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(QuotaPath), func(w http.ResponseWriter, _ *http.Request) {
		writeQuotaStatus(w, n.quotaStatus())
	})
}

func (n *Node) quotaStatus() QuotaStatus {
	s := n.quotaKeeper.Status()
	page := QuotaStatus{Grantor: addressText(s.Grantor), Answered: s.Answered, LeaseLeftMS: s.LeaseLeft.Milliseconds()}
	for _, o := range s.Organisations {
		page.Organisations = append(page.Organisations, QuotaEntry{
			Organisation: o.Name, Limit: o.Limit, Lease: o.Lease, Demand: o.Demand,
			Tokens: float64(o.Tokens), Served: o.Taken, Refused: o.Refused,
		})
	}
	return page
}

// mount adds the page to the handler for operators.
func (q *controlQuota) mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(QuotaPath), func(w http.ResponseWriter, _ *http.Request) {
		writeQuotaStatus(w, q.status())
	})
}

func (q *controlQuota) status() QuotaStatus {
	s := q.server.Status()
	page := QuotaStatus{Grantor: addressText(s.Grantor), Grants: s.Grants, LeasesKnown: s.LeasesKnown, Nodes: s.Nodes}
	names := *q.names.Load()
	for _, o := range s.Organisations {
		page.Organisations = append(page.Organisations, QuotaEntry{
			Organisation: names[o.ID], Limit: o.Limit.Rate, Lease: o.Leased, Demand: o.Wished, Tokens: o.Tokens,
		})
	}
	return page
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func writeQuotaStatus(w http.ResponseWriter, s QuotaStatus) {
	s.Organisations = s.Organisations[:min(len(s.Organisations), maxQuotaEntries)]
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s) // Fails only if the client disconnected.
}
