package grantor

import (
	"cmp"
	"net/netip"
	"slices"
)

// Status is what a control instance knows of quotas.
type Status struct {
	// Grantor is invalid if it is not known. Grants reports whether it is this instance.
	Grantor netip.AddrPort
	Grants  bool
	// LeasesKnown reports whether all nodes have reported their leases, and Nodes is the number
	// of nodes that ask.
	LeasesKnown bool
	Nodes       int
	// Organisations are those with recent requests, the ones with the most first.
	Organisations []OrganisationStatus
}

// OrganisationStatus is what is granted to one organisation.
type OrganisationStatus struct {
	ID    OrganisationID
	Limit Limit
	// Leased and Wished are sums over all nodes, in requests a second, and Silent is the part of
	// Leased at nodes that are not heard from.
	Leased, Wished, Silent float64
	// Tokens are those that are not granted.
	Tokens float64
}

// Status returns the status of the tenure.
func (g *Grantor) Status() Status {
	s := Status{LeasesKnown: g.leasesKnownAt > 0, Nodes: len(g.nodes)}
	for id, p := range g.pools {
		s.Organisations = append(s.Organisations, OrganisationStatus{
			ID: id, Limit: p.limit, Leased: p.leased, Wished: p.wished, Silent: p.silent, Tokens: p.level,
		})
	}
	slices.SortFunc(s.Organisations, func(a, b OrganisationStatus) int {
		return cmp.Or(cmp.Compare(b.Wished, a.Wished), cmp.Compare(a.ID, b.ID))
	})
	return s
}
