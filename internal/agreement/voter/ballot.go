package voter

import (
	"cmp"

	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// compareBallots orders ballots by round and then by proposer. A nil ballot is
// older than any other.
func compareBallots(a, b *voterwire.Ballot) int {
	if c := cmp.Compare(a.GetRound(), b.GetRound()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetProposer(), b.GetProposer())
}

func sameBallot(a, b *voterwire.Ballot) bool { return compareBallots(a, b) == 0 }
