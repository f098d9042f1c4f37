package voter

import "github.com/banyanscale/banyanscale/internal/wire/voterwire"

// Electorate is a membership with the addresses of the voters.
type Electorate struct {
	epoch            uint64
	voters, previous []string
}

// NewElectorate returns a membership without a replacement under way.
func NewElectorate(epoch uint64, voters []string) Electorate {
	return Electorate{epoch: epoch, voters: voters}
}

// Epoch returns a number that rises with each membership.
func (e Electorate) Epoch() uint64 { return e.epoch }

// Voters returns the addresses of the voters.
func (e Electorate) Voters() []string { return e.voters }

// Previous returns the addresses of the voters that are being replaced.
func (e Electorate) Previous() []string { return e.previous }

// Electorate returns the newest membership that this instance knows to be chosen. It has no
// voters before there is one.
func (v *Voter) Electorate() Electorate {
	state := v.Local()
	if state == nil {
		return Electorate{}
	}
	m := state.membership()
	return Electorate{epoch: m.GetEpoch(), voters: addressesOf(m.GetVoters()), previous: addressesOf(m.GetPrevious())}
}

// AcceptedEpoch returns the epoch of the newest membership that this instance has accepted, be
// it chosen or not.
func (v *Voter) AcceptedEpoch() uint64 {
	state, _ := v.acceptor.newestState()
	if state == nil {
		return 0
	}
	return state.membership().GetEpoch()
}

func addressesOf(members []*voterwire.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.GetAddress()
	}
	return list
}
