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
	// maxHistoryChanges bounds the changes whose ids the history keeps.
	maxHistoryChanges = 16384
	// maxDetailedChanges bounds the newest changes, whose entry changes the history
	// keeps as well.
	maxDetailedChanges = 512
	// maxDetailedBytes bounds the total size of these changes. The newest one is kept
	// whatever its size.
	maxDetailedBytes = 1 << 20
	// maxRecentTransitions bounds the transitions that are kept to update other
	// instances without a snapshot.
	maxRecentTransitions = 256
)

// State is the content of the register. It is immutable.
type State struct {
	wire *voterwire.State
	// recent holds the newest transitions that led to this state, oldest first.
	// It is not part of the content.
	recent []*voterwire.Transition
}

func newState(wire *voterwire.State) *State { return &State{wire: wire} }

// Version returns the document with its version number and digest. Version 0 is
// the empty document before the first change.
func (s *State) Version() *controlwire.Version { return s.wire.GetVersion() }

// History returns the remembered changes, oldest first. The caller must not
// modify it.
func (s *State) History() []*controlwire.HistoryEntry { return s.wire.GetHistory() }

func (s *State) origin() *voterwire.Ballot { return s.wire.GetOrigin() }

func (s *State) number() uint64 { return s.wire.GetVersion().GetDigest().GetNumber() }

func (s *State) membership() *voterwire.Membership { return s.wire.GetMembership() }

// apply returns the state that results from the transition.
func (s *State) apply(t *voterwire.Transition) (*State, error) {
	next := &voterwire.State{
		Group:      s.wire.GetGroup(),
		Origin:     t.GetOrigin(),
		Revision:   s.wire.GetRevision() + 1,
		Version:    s.wire.GetVersion(),
		History:    s.wire.GetHistory(),
		Membership: s.wire.GetMembership(),
		Evacuation: s.wire.GetEvacuation(),
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
	if t.GetEvacuation() != nil {
		next.Evacuation = t.GetEvacuation()
	}
	recent := s.recent[max(0, len(s.recent)+1-maxRecentTransitions):]
	return &State{wire: next, recent: append(slices.Clip(recent), t)}, nil
}

// appendHistory returns the history with the change appended. To stay within the
// bounds, it drops the oldest changes and the entry changes of others.
func appendHistory(history []*controlwire.HistoryEntry, change *controlwire.HistoryEntry) []*controlwire.HistoryEntry {
	history = history[max(0, len(history)+1-maxHistoryChanges):]
	history = append(slices.Clip(history), change)
	size := 0
	newest := len(history) - 1
	for i := newest - 1; i >= max(0, newest-maxDetailedChanges); i-- {
		size += proto.Size(history[i])
		if newest-i >= maxDetailedChanges || size > maxDetailedBytes {
			history[i] = withoutEntryChanges(history[i])
		}
	}
	return history
}

func withoutEntryChanges(e *controlwire.HistoryEntry) *controlwire.HistoryEntry {
	return &controlwire.HistoryEntry{
		Number:         e.GetNumber(),
		ChangeId:       e.GetChangeId(),
		Operator:       e.GetOperator(),
		AcceptedUnixMs: e.GetAcceptedUnixMs(),
		Message:        e.GetMessage(),
		Replaced:       e.Replaced,
	}
}

// changeReplacing returns the change that replaced the given version, or nil if
// the history no longer contains it.
func (s *State) changeReplacing(number uint64) *controlwire.HistoryEntry {
	history := s.wire.GetHistory()
	i, _ := slices.BinarySearchFunc(history, number+1, compareNumber)
	if i == len(history) || replacedVersion(history[i]) != number {
		return nil
	}
	return history[i]
}

// replacedVersion returns the number of the version that the change replaced. An
// entry without that number replaced the version just before its own.
func replacedVersion(e *controlwire.HistoryEntry) uint64 {
	if e.Replaced == nil {
		return e.GetNumber() - 1
	}
	return e.GetReplaced()
}

func compareNumber(e *controlwire.HistoryEntry, number uint64) int {
	return cmp.Compare(e.GetNumber(), number)
}

// changeByID returns the accepted change with the given id, or nil if the
// history does not contain it.
func (s *State) changeByID(id string) *controlwire.HistoryEntry {
	for _, e := range slices.Backward(s.wire.GetHistory()) {
		if e.GetChangeId() == id {
			return e
		}
	}
	return nil
}

// transferFrom returns the transfer that leads to this state from the one with
// origin have: the transitions in between, or else a snapshot.
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

// applyTransfer returns the state to which a transfer leads from s, which may be
// nil, and whether the transfer applies to s.
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

// Delta returns the difference between the given version and this one. It returns
// false if the given version is 0, is newer, or has the same number with another
// digest, or if the history lacks a change in between. The receiver verifies the digest
// after applying the delta with compiler.ApplyJoined.
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
		e := s.changeReplacing(number)
		if e == nil || len(e.GetChanges()) == 0 {
			return nil, false
		}
		changes = append(changes, e.GetChanges()...)
		number = e.GetNumber()
	}
	delta.Changes = compiler.JoinChanges(changes)
	return delta, true
}
