package registrar

import "sort"

// View is an immutable picture of the fleet.
type View struct {
	byID      map[string]*Instance
	byService map[string][]*Instance
}

// NewView returns a view of the given instances. Of two with one id, the later
// in the slice counts.
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

// Instance returns the instance with the given id, or nil.
func (v *View) Instance(id string) *Instance { return v.byID[id] }

// Len returns the number of instances, whatever their state.
func (v *View) Len() int { return len(v.byID) }

// Service returns the service's instances in every state, ordered by id. The
// caller must not change the slice.
func (v *View) Service(name string) []*Instance { return v.byService[name] }

// Instances returns all instances, ordered by id.
func (v *View) Instances() []*Instance {
	list := make([]*Instance, 0, len(v.byID))
	for _, in := range v.byID {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	return list
}
