package gossiper

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
)

// status is this node's conclusion about whether a member is alive. It is independent of
// the state that the member announced.
type status uint8

const (
	statusAlive status = iota
	statusSuspect
	statusFailed
)

// revision orders the announcements of one instance, first by incarnation and then by
// sequence.
type revision struct{ incarnation, sequence uint64 }

func (r revision) before(other revision) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation < other.incarnation
	}
	return r.sequence < other.sequence
}

// member is one instance as this node knows it. Its spec holds what the instance last
// announced; its status is this node's own conclusion.
type member struct {
	spec      registrar.Spec
	status    status
	changed   time.Time // When the status was last set or the announcement last replaced.
	lastAck   time.Time // When an ack last arrived, directly or through another node.
	suspicion *suspicion
}

func (m *member) revision() revision { return revision{m.spec.Incarnation, m.spec.Sequence} }

// live reports whether the member participates in the protocol.
func (m *member) live() bool {
	return m.status != statusFailed && m.spec.State != registrar.StateLeft
}

// state returns the state that views show. A suspicion does not replace a state in which
// the instance is not routable.
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

// instance returns the member as views show it.
func (m *member) instance() *registrar.Instance {
	spec := m.spec
	spec.State = m.state()
	return registrar.NewInstance(spec)
}

// digest returns the member's contribution to the table's digest. Suspicions are not
// included, because they are resolved without an exchange of tables.
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

// suspicion tracks how long a member has been suspect and which nodes suspect it.
type suspicion struct {
	started         time.Time
	accusers        map[string]bool
	failureReported bool // True once another node declared the member failed.
	verified        bool // True once this node pinged the suspect.
}
