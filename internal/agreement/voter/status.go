package voter

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// Status returns what the instance knows about itself and the voters, without the
// versions in force.
func (v *Voter) Status() *controlwire.StatusResponse {
	m := v.monitor
	m.mu.Lock()
	lastPoll, lastContact := m.lastPoll, m.lastContact
	m.mu.Unlock()
	p := v.acceptor.position()
	status := &controlwire.StatusResponse{Identity: p.GetIdentity(), Version: p.GetVersion()}
	if age := time.Since(lastContact); age >= staleAfter {
		status.Stale = true
		status.StaleForMs = age.Milliseconds()
	}
	state := v.Local()
	if state == nil {
		return status
	}
	status.Version = state.number()
	status.Evacuation = state.Evacuation()
	status.Voting = isFullVoter(state.membership(), p.GetIdentity()) && !p.GetFailed()
	for _, member := range state.membership().GetVoters() {
		voterStatus := lastPoll.memberStatus(member)
		voterStatus.Voting = voterStatus.GetVoting() && len(state.membership().GetPrevious()) == 0
		status.Voters = append(status.Voters, voterStatus)
	}
	return status
}

// isFullVoter reports whether the identity is a current voter and, during a
// replacement, also a previous one. Until the replacement ends, the group also
// needs a majority of the previous voters, and a new voter does not count there.
func isFullVoter(m *voterwire.Membership, identity string) bool {
	if !isVoter(m, identity) {
		return false
	}
	return len(m.GetPrevious()) == 0 || isVoter(&voterwire.Membership{Voters: m.GetPrevious()}, identity)
}

// memberStatus returns the status of a member according to the poll. The
// receiver may be nil.
func (r *pollResult) memberStatus(member *voterwire.Member) *controlwire.VoterStatus {
	status := &controlwire.VoterStatus{Identity: member.GetIdentity(), Address: member.GetAddress()}
	if r == nil || r.positions[member.GetIdentity()] == nil {
		return status
	}
	status.Reachable = true
	status.Voting = r.voting[member.GetIdentity()]
	status.Version = r.positions[member.GetIdentity()].GetVersion()
	return status
}
