package voter

import (
	"cmp"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// maxRound is the greatest round of a ballot that is voted on, far beyond what any group reaches. A
// greater one would leave no ballot above it.
const maxRound = 1 << 53

// validBallot reports whether a voter may promise or accept at a ballot.
func validBallot(b *voterwire.Ballot) bool {
	return b.GetRound() <= maxRound
}

// compareBallots orders ballots by round and then by proposer. A nil ballot is
// older than any other.
func compareBallots(a, b *voterwire.Ballot) int {
	if c := cmp.Compare(a.GetRound(), b.GetRound()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetProposer(), b.GetProposer())
}

func sameBallot(a, b *voterwire.Ballot) bool { return compareBallots(a, b) == 0 }
