package registrar

import "sort"

// View is an immutable view of the instances in the fleet.
type View struct {
	byID      map[string]*Instance
	byService map[string][]*Instance
	// evacuation is set by WithEvacuation.
	evacuation *Evacuation
}

// NewView returns a view of the given instances. If several have the same ID, it contains
// the last of them.
func NewView(instances []*Instance) *View {
	v := &View{byID: make(map[string]*Instance, len(instances)), byService: make(map[string][]*Instance)}
	for _, in := range instances {
		v.byID[in.ID()] = in
	}
	for _, in := range v.byID {
		v.byService[in.Service()] = append(v.byService[in.Service()], in)
	}
	for _, list := range v.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	}
	return v
}

// Instance returns the instance with the given ID, or nil if there is none.
func (v *View) Instance(id string) *Instance { return v.byID[id] }

// Len returns the number of instances in all states.
func (v *View) Len() int { return len(v.byID) }

// Service returns the service's instances in all states, ordered by ID. The caller must
// not modify the slice.
func (v *View) Service(name string) []*Instance { return v.byService[name] }

// Instances returns all instances in a new slice, ordered by ID.
func (v *View) Instances() []*Instance {
	list := make([]*Instance, 0, len(v.byID))
	for _, in := range v.byID {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	return list
}
