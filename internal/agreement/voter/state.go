package voter

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
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
	// maxHistoryBytes bounds the total size of the history without these entry changes.
	maxHistoryBytes = 4 << 20
	// maxHistoryEntryBytes is above the size of one change without its entry changes.
	maxHistoryEntryBytes = 2*maxIDBytes + maxMessageBytes + 64
	// maxRecentTransitions bounds the transitions that are kept to update other
	// instances without a snapshot. Their size is bounded as well.
	maxRecentTransitions = 256
)

// State is the content of the register. It is immutable.
type State struct {
	wire *voterwire.State
	// recent holds the newest transitions that led to this state. It is not part of the content.
	recent retainer.List[*voterwire.Transition]
}

func newState(wire *voterwire.State) *State {
	return &State{wire: wire, recent: retainer.NewList[*voterwire.Transition](maxRecentTransitions, retainer.DefaultBytes)}
}

// bounded returns the state with another bound on the transitions that it keeps, in bytes. States
// that result from it have the same bound.
func (s *State) bounded(catchUpBytes int) *State {
	return &State{wire: s.wire, recent: s.recent.Bounded(catchUpBytes)}
}

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
	return &State{wire: next, recent: s.recent.With(t, transitionSize(t))}, nil
}

// transitionSize returns about how many bytes of memory the transition takes.
func transitionSize(t *voterwire.Transition) int {
	changes := t.GetChange().GetChanges()
	rest := &voterwire.Transition{Membership: t.GetMembership(), Evacuation: t.GetEvacuation()}
	return retainer.ChangesSize(changes) + maxHistoryEntryBytes + proto.Size(rest)
}

// appendHistory returns the history with the change appended. To stay within the
// bounds, it drops the oldest changes and the entry changes of others.
func appendHistory(history []*controlwire.HistoryEntry, change *controlwire.HistoryEntry) []*controlwire.HistoryEntry {
	history = history[max(0, len(history)+1-maxHistoryChanges):]
	history = withoutOldest(append(slices.Clip(history), change))
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

// withoutOldest returns the history without the oldest changes that are above maxHistoryBytes.
func withoutOldest(history []*controlwire.HistoryEntry) []*controlwire.HistoryEntry {
	if len(history)*maxHistoryEntryBytes <= maxHistoryBytes {
		return history
	}
	size := 0
	for i, e := range slices.Backward(history) {
		size += proto.Size(withoutEntryChanges(e))
		if size > maxHistoryBytes {
			return slices.Clone(history[i+1:])
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
	for i, t := range s.recent.All() {
		if have != nil && sameBallot(t.GetBase(), have) {
			return &voterwire.Transfer{Transitions: s.recent.From(i)}
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
