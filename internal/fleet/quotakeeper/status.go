package quotakeeper

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxNamed bounds the organisations that have metrics of their own, and minNamedDemand is
	// the demand in requests a second from which on one gets them.
	maxNamed       = 20
	minNamedDemand = 1.0
	// otherOrganisations is the tag of the metrics of all others. It is no name of an
	// organisation.
	otherOrganisations = "_others"
	organisationTag    = "organisation"
)

// Status is what a node knows of quotas.
type Status struct {
	// Grantor is invalid if it is not known.
	Grantor netip.AddrPort
	// Answered reports whether asks are answered, and LeaseLeft is the time until the leases
	// end if no other answer comes.
	Answered  bool
	LeaseLeft time.Duration
	// Organisations are those with recent requests, the ones with the most first.
	Organisations []OrganisationStatus
}

// OrganisationStatus is what a node knows of the quota of one organisation.
type OrganisationStatus struct {
	Name string
	// Limit, Lease and Demand are rates in requests a second: that of all nodes together, and
	// those of this node.
	Limit, Lease, Demand float64
	Tokens               int
	// Taken and Refused count requests at this node since the organisation became active.
	Taken, Refused int64
}

// Status returns the status.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	s := Status{Grantor: k.grantor, Answered: k.contact.known && !k.unanswered(now)}
	if k.leaseValid(now) {
		s.LeaseLeft = k.contact.sentAt + k.contact.lease - now
	}
	for _, a := range k.byDemand() {
		s.Organisations = append(s.Organisations, OrganisationStatus{
			Name: a.name, Limit: a.limit, Lease: a.rate, Demand: a.demandRate,
			Tokens: a.tokens.count(), Taken: a.taken - a.givenBack, Refused: a.refused,
		})
	}
	return s
}

// byDemand returns the accounts, those with the most requests first.
func (k *Keeper) byDemand() []*account {
	list := make([]*account, 0, len(k.accounts))
	for _, a := range k.accounts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.demandRate, a.demandRate), cmp.Compare(a.name, b.name))
	})
	return list
}

// organisationMetrics counts the requests of one organisation, or of all that have none of their
// own.
type organisationMetrics struct{ taken, refused tally.Counter }

func newOrganisationMetrics(scope tally.Scope, name string) organisationMetrics {
	tagged := scope.Tagged(map[string]string{organisationTag: name})
	return organisationMetrics{taken: tagged.Counter("organisation_taken"), refused: tagged.Counter("organisation_refused")}
}

// flushMetrics adds what was counted since the last review to the metrics. The first maxNamed
// organisations with some demand get metrics of their own, the largest first.
func (k *Keeper) flushMetrics() {
	for _, a := range k.byDemand() {
		m, named := k.named[a.name]
		if !named && len(k.named) < maxNamed && a.demandRate >= minNamedDemand {
			m = newOrganisationMetrics(k.cfg.Scope, a.name)
			k.named[a.name], named = m, true
		}
		if !named {
			m = k.others
		}
		a.flush(m)
	}
}

// flush adds what was counted since the last time to m.
func (a *account) flush(m organisationMetrics) {
	m.taken.Inc(a.taken - a.flushedTaken)
	m.refused.Inc(a.refused - a.flushedRefused)
	a.flushedTaken, a.flushedRefused = a.taken, a.refused
}
