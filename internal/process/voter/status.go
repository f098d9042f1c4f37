package voter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// Status tells what the instance knows of the voters. It names no versions in
// force.
func (v *Voter) Status() *controlwire.StatusResponse {
	m := v.monitor
	m.mu.Lock()
	last, contact := m.last, m.lastContact
	m.mu.Unlock()
	p := v.acceptor.position()
	status := &controlwire.StatusResponse{Identity: p.GetIdentity(), Version: p.GetVersion()}
	if age := time.Since(contact); age >= staleAfter {
		status.Stale = true
		status.StaleForMs = age.Milliseconds()
	}
	state := v.Local()
	if state == nil {
		return status
	}
	status.Version = state.number()
	status.Voting = votesAlone(state.membership(), p.GetIdentity()) && !p.GetFailed()
	for _, member := range state.membership().GetVoters() {
		voter := last.status(member)
		voter.Voting = voter.GetVoting() && len(state.membership().GetPrevious()) == 0
		status.Voters = append(status.Voters, voter)
	}
	return status
}

// votesAlone reports whether the identity is one of the voters, and has been
// since before any replacement that is not over: until then the group needs a
// majority of the previous voters too, to which a new one does not count.
func votesAlone(m *voterwire.Membership, identity string) bool {
	if !isVoter(m, identity) {
		return false
	}
	return len(m.GetPrevious()) == 0 || isVoter(&voterwire.Membership{Voters: m.GetPrevious()}, identity)
}

// status tells what the survey, which may be nil, found out about a member.
func (s *survey) status(member *voterwire.Member) *controlwire.VoterStatus {
	status := &controlwire.VoterStatus{Identity: member.GetIdentity(), Address: member.GetAddress()}
	if s == nil || s.positions[member.GetIdentity()] == nil {
		return status
	}
	status.Reachable = true
	status.Voting = s.responded[member.GetIdentity()]
	status.Version = s.positions[member.GetIdentity()].GetVersion()
	return status
}
