package voter

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// compactionThreshold is how many bytes are appended to the journal before it is compacted.
const compactionThreshold = 4 << 20

// Journal stores what an acceptor must not lose. journaler.Journal implements it.
type Journal interface {
	// Records returns the records that the journal had when it was opened.
	Records() [][]byte
	// Append appends records and syncs them.
	Append(records ...[]byte) error
	// AppendUnsynced appends records; a crash may lose them until the next Append.
	AppendUnsynced(records ...[]byte) error
	// Rewrite replaces all records atomically.
	Rewrite(records [][]byte) error
	// Appended returns the number of bytes appended since the last Rewrite.
	Appended() int64
}

func (a *acceptor) replay(record *voterwire.Record) error {
	switch kind := record.GetKind().(type) {
	case *voterwire.Record_Identity:
		a.identity = kind.Identity
	case *voterwire.Record_Promised:
		a.promisedBallot = kind.Promised
	case *voterwire.Record_Accepted:
		state, ok := applyTransfer(a.acceptedState, kind.Accepted.GetTransfer())
		if !ok || !sameBallot(state.origin(), kind.Accepted.GetOrigin()) {
			return errors.New("accepted state does not follow from the previous one")
		}
		a.setAccepted(kind.Accepted.GetBallot(), state)
	case *voterwire.Record_Learned:
		if a.acceptedState != nil && sameBallot(a.acceptedState.origin(), kind.Learned) {
			a.learned = a.acceptedState
		}
	case *voterwire.Record_LearnedState:
		a.learned = newState(kind.LearnedState)
	case *voterwire.Record_Reserved:
		a.reserved = kind.Reserved
	}
	return nil
}

// append makes a record durable. An error other than a full disk ends voting:
// what a failed sync left on the disk is unknown.
func (a *acceptor) append(record []byte) error {
	err := a.journal.Append(record)
	if err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		a.failed = true
	}
	return err
}

func (a *acceptor) compactIfLarge() {
	if a.journal.Appended() < compactionThreshold {
		return
	}
	if err := a.compact(); err != nil && !errors.Is(err, journaler.ErrDiskFull) {
		a.failed = true
	}
}

// compact rewrites the journal so that it contains only what a replay needs.
func (a *acceptor) compact() error {
	records := [][]byte{encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Identity{Identity: a.identity}})}
	if a.reserved != nil {
		records = append(records, encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Reserved{Reserved: a.reserved}}))
	}
	if a.acceptedState != nil {
		accepted := &voterwire.Accepted{
			Ballot:   a.acceptedBallot,
			Origin:   a.acceptedState.origin(),
			Transfer: &voterwire.Transfer{Snapshot: a.acceptedState.wire},
		}
		records = append(records, acceptedRecord(accepted))
	}
	if a.learned != nil {
		records = append(records, a.learnedRecord())
	}
	if a.promisedBallot != nil {
		records = append(records, promisedRecord(a.promisedBallot))
	}
	if err := a.journal.Rewrite(records); err != nil {
		return fmt.Errorf("compact journal: %w", err)
	}
	return nil
}

func (a *acceptor) learnedRecord() []byte {
	if a.acceptedState != nil && sameBallot(a.acceptedState.origin(), a.learned.origin()) {
		return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Learned{Learned: a.learned.origin()}})
	}
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_LearnedState{LearnedState: a.learned.wire}})
}

func promisedRecord(ballot *voterwire.Ballot) []byte {
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Promised{Promised: ballot}})
}

func acceptedRecord(accepted *voterwire.Accepted) []byte {
	return encodeRecord(&voterwire.Record{Kind: &voterwire.Record_Accepted{Accepted: accepted}})
}

func encodeRecord(record *voterwire.Record) []byte {
	data, err := proto.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("voter: encode journal record: %v", err))
	}
	return data
}
