package voter

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

const (
	// maxHistory is how many changes are remembered with their change ids.
	maxHistory = 16384
	// maxDetailed is how many of them are remembered with what they changed.
	maxDetailed = 512
	// maxDetailedBytes bounds the size of what these changed. The newest
	// change is remembered whatever its size.
	maxDetailedBytes = 1 << 20
	// maxRecent is how many transitions are kept to bring others up to date.
	maxRecent = 256
)

// State is the whole content of the register. It is immutable.
type State struct {
	wire *voterwire.State
	// recent holds the transitions that led here, from old to new. It is no
	// part of the content.
	recent []*voterwire.Transition
}

func newState(wire *voterwire.State) *State { return &State{wire: wire} }

// Version returns the document with its number and digest. Number 0 is the
// empty document before the first change.
func (s *State) Version() *controlwire.Version { return s.wire.GetVersion() }

// History returns the remembered changes from old to new. The caller must not
// change it.
func (s *State) History() []*controlwire.HistoryEntry { return s.wire.GetHistory() }

func (s *State) origin() *voterwire.Ballot { return s.wire.GetOrigin() }

func (s *State) number() uint64 { return s.wire.GetVersion().GetDigest().GetNumber() }

func (s *State) membership() *voterwire.Membership { return s.wire.GetMembership() }

// apply returns the state to which the transition leads.
func (s *State) apply(t *voterwire.Transition) (*State, error) {
	next := &voterwire.State{
		Group:      s.wire.GetGroup(),
		Origin:     t.GetOrigin(),
		Revision:   s.wire.GetRevision() + 1,
		Version:    s.wire.GetVersion(),
		History:    s.wire.GetHistory(),
		Membership: s.wire.GetMembership(),
	}
	if change := t.GetChange(); change != nil {
		document, err := compiler.Apply(s.wire.GetVersion().GetDocument(), change.GetChanges())
		if err != nil {
			return nil, fmt.Errorf("apply change %s: %w", change.GetChangeId(), err)
		}
		next.Version = &controlwire.Version{
			Digest:   &controlwire.VersionDigest{Number: change.GetNumber(), Digest: t.GetDigest()},
			Document: document,
		}
		next.History = appendHistory(s.wire.GetHistory(), change)
	}
	if t.GetMembership() != nil {
		next.Membership = t.GetMembership()
	}
	recent := s.recent[max(0, len(s.recent)+1-maxRecent):]
	return &State{wire: next, recent: append(slices.Clip(recent), t)}, nil
}

// appendHistory returns the history with one more change, within its bounds.
func appendHistory(history []*controlwire.HistoryEntry, change *controlwire.HistoryEntry) []*controlwire.HistoryEntry {
	history = history[max(0, len(history)+1-maxHistory):]
	history = append(slices.Clip(history), change)
	bytes := 0
	newest := len(history) - 1
	for i := newest - 1; i >= max(0, newest-maxDetailed); i-- {
		bytes += proto.Size(history[i])
		if newest-i >= maxDetailed || bytes > maxDetailedBytes {
			history[i] = withoutChanges(history[i])
		}
	}
	return history
}

func withoutChanges(e *controlwire.HistoryEntry) *controlwire.HistoryEntry {
	return &controlwire.HistoryEntry{
		Number:         e.GetNumber(),
		ChangeId:       e.GetChangeId(),
		Operator:       e.GetOperator(),
		AcceptedUnixMs: e.GetAcceptedUnixMs(),
		Message:        e.GetMessage(),
		Replaced:       e.Replaced,
	}
}

// changeAfter returns the change that replaced the given version, or nil if
// that is not remembered.
func (s *State) changeAfter(number uint64) *controlwire.HistoryEntry {
	history := s.wire.GetHistory()
	i, _ := slices.BinarySearchFunc(history, number+1, compareNumber)
	if i == len(history) || replacedBy(history[i]) != number {
		return nil
	}
	return history[i]
}

// replacedBy returns the number of the version that the change replaced.
func replacedBy(e *controlwire.HistoryEntry) uint64 {
	if e.Replaced == nil {
		return e.GetNumber() - 1
	}
	return e.GetReplaced()
}

func compareNumber(e *controlwire.HistoryEntry, number uint64) int {
	return cmp.Compare(e.GetNumber(), number)
}

// changeNamed returns the accepted change with the given id, or nil.
func (s *State) changeNamed(id string) *controlwire.HistoryEntry {
	for _, e := range slices.Backward(s.wire.GetHistory()) {
		if e.GetChangeId() == id {
			return e
		}
	}
	return nil
}

// transferFrom returns what brings an instance that holds the state with
// origin have to this one.
func (s *State) transferFrom(have *voterwire.Ballot) *voterwire.Transfer {
	if have != nil && sameBallot(have, s.origin()) {
		return &voterwire.Transfer{}
	}
	for i, t := range s.recent {
		if have != nil && sameBallot(t.GetBase(), have) {
			return &voterwire.Transfer{Transitions: s.recent[i:]}
		}
	}
	return &voterwire.Transfer{Snapshot: s.wire}
}

// applyTransfer returns the state to which a transfer leads from s, which may
// be nil, and whether it applies.
func applyTransfer(s *State, transfer *voterwire.Transfer) (*State, bool) {
	if snapshot := transfer.GetSnapshot(); snapshot != nil {
		return newState(snapshot), true
	}
	if s == nil {
		return nil, false
	}
	for _, t := range transfer.GetTransitions() {
		if !sameBallot(t.GetBase(), s.origin()) {
			return nil, false
		}
		next, err := s.apply(t)
		if err != nil {
			return nil, false
		}
		s = next
	}
	return s, true
}

// Delta returns what leads from the given version to this one, or false if
// the history does not tell. The one who applies it checks the digest.
func (s *State) Delta(have *controlwire.VersionDigest) (*controlwire.Delta, bool) {
	if have.GetNumber() == 0 || have.GetNumber() > s.number() {
		return nil, false
	}
	if have.GetNumber() == s.number() && !bytes.Equal(have.GetDigest(), s.Version().GetDigest().GetDigest()) {
		return nil, false
	}
	delta := &controlwire.Delta{Base: have, Target: s.Version().GetDigest()}
	var changes []*controlwire.EntryChange
	for number := have.GetNumber(); number < s.number(); {
		e := s.changeAfter(number)
		if e == nil || len(e.GetChanges()) == 0 {
			return nil, false
		}
		changes = append(changes, e.GetChanges()...)
		number = e.GetNumber()
	}
	var ok bool
	delta.Changes, ok = compiler.Merge(changes)
	return delta, ok
}
