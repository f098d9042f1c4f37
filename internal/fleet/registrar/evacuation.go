package registrar

import (
	"maps"
	"slices"
)

// Evacuation holds the evacuated failure domains, to whose upstreams nothing more is sent. It
// is immutable. A nil Evacuation holds none.
type Evacuation struct {
	revision uint64
	domains  map[string]bool
}

// NewEvacuation returns the evacuated failure domains as of a revision.
func NewEvacuation(revision uint64, domains []string) *Evacuation {
	e := &Evacuation{revision: revision, domains: make(map[string]bool, len(domains))}
	for _, name := range domains {
		e.domains[name] = true
	}
	return e
}

// Revision returns the revision, which increases with each change; 0 before the first.
func (e *Evacuation) Revision() uint64 {
	if e == nil {
		return 0
	}
	return e.revision
}

// Has reports whether a failure domain is evacuated.
func (e *Evacuation) Has(domain string) bool { return e != nil && e.domains[domain] }

// Domains returns the sorted names of the evacuated failure domains.
func (e *Evacuation) Domains() []string {
	if e == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(e.domains))
}

// Empty reports whether no failure domain is evacuated.
func (e *Evacuation) Empty() bool { return e == nil || len(e.domains) == 0 }

// WithEvacuation returns the view in which the routable instances of evacuated failure domains
// have StateEvacuated. Control instances keep their state, since they have no upstream.
func (v *View) WithEvacuation(e *Evacuation) *View {
	if e.Empty() {
		return &View{byID: v.byID, byService: v.byService, evacuation: e}
	}
	instances := make([]*Instance, 0, len(v.byID))
	for _, in := range v.byID {
		if e.Has(in.FailureDomain()) && in.Service() != "" && in.State().Routable() {
			spec := in.Spec()
			spec.State = StateEvacuated
			in = NewInstance(spec)
		}
		instances = append(instances, in)
	}
	evacuated := NewView(instances)
	evacuated.evacuation = e
	return evacuated
}

// Evacuation returns the evacuated failure domains, or nil if no order is known.
func (v *View) Evacuation() *Evacuation { return v.evacuation }
