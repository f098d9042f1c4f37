package gossiper

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
)

// status is what this node concluded about a member, beside what the member
// announced itself.
type status uint8

const (
	statusAlive status = iota
	statusSuspect
	statusFailed
)

// stamp orders the announcements of one instance.
type stamp struct{ incarnation, sequence uint64 }

func (s stamp) before(other stamp) bool {
	if s.incarnation != other.incarnation {
		return s.incarnation < other.incarnation
	}
	return s.sequence < other.sequence
}

// member is one instance as this node knows it. Its spec holds the state that
// the instance announced last, its status what others concluded.
type member struct {
	spec      registrar.Spec
	status    status
	changed   time.Time // When the status or the announced state last changed.
	heard     time.Time // When the instance itself was last heard from.
	suspicion *suspicion
}

func (m *member) stamp() stamp { return stamp{m.spec.Incarnation, m.spec.Sequence} }

// live reports whether the member takes part in the protocol.
func (m *member) live() bool {
	return m.status != statusFailed && m.spec.State != registrar.StateLeft
}

// state returns the state that a view shows. A suspicion does not hide that an
// instance takes no work.
func (m *member) state() registrar.State {
	switch {
	case m.spec.State == registrar.StateLeft:
		return registrar.StateLeft
	case m.status == statusFailed:
		return registrar.StateFailed
	case m.status == statusSuspect && m.spec.State.Routable():
		return registrar.StateSuspect
	default:
		return m.spec.State
	}
}

// instance returns the member as a view shows it.
func (m *member) instance() *registrar.Instance {
	spec := m.spec
	spec.State = m.state()
	return registrar.NewInstance(spec)
}

// digest returns the member's part of the table's digest. A suspicion does not
// count, since it settles by itself.
func (m *member) digest() uint64 {
	if !m.live() {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(m.spec.ID))
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], m.spec.Incarnation)
	binary.LittleEndian.PutUint64(buf[8:], m.spec.Sequence)
	h.Write(buf[:])
	return h.Sum64()
}

// suspicion is the time that a suspected member has to refute.
type suspicion struct {
	started   time.Time
	accusers  map[string]bool
	confirmed bool // True if another node concluded the failure.
	verified  bool // True once this node pinged the suspect.
}
