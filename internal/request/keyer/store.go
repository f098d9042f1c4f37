package keyer

import (
	"time"
)

// store holds records under a bound on their number and on the bytes of their
// answers. Records are forgotten only when they expire.
type store struct {
	maxKeys, maxBytes int
	byKey             map[string]*Record
	// queue holds the records in the order in which they came.
	queue []*Record
	bytes int
}

func newStore(maxKeys, maxBytes int) *store {
	return &store{maxKeys: maxKeys, maxBytes: maxBytes, byKey: make(map[string]*Record)}
}

func (s *store) get(key string, now time.Time) *Record {
	s.expire(now)
	r := s.byKey[key]
	if r == nil || !r.Expires.After(now) {
		return nil
	}
	return r
}

// put adds a record, or replaces the one of its key. It reports false if there
// is no room.
func (s *store) put(r *Record) bool {
	if old := s.byKey[r.Key]; old == nil && len(s.byKey) >= s.maxKeys {
		return false
	}
	s.remove(r.Key)
	s.byKey[r.Key] = r
	s.queue = append(s.queue, r)
	s.bytes += r.Answer.size()
	return true
}

// keepAnswer stores the answer of a record if there is room.
func (s *store) keepAnswer(r *Record, a *Answer) {
	if s.bytes+a.size() > s.maxBytes {
		return
	}
	r.Answer = a
	s.bytes += a.size()
}

func (s *store) remove(key string) {
	if r := s.byKey[key]; r != nil {
		s.bytes -= r.Answer.size()
		delete(s.byKey, key)
	}
}

// expire forgets the records at the head of the queue that have expired or
// were removed. A key that still runs is kept.
func (s *store) expire(now time.Time) {
	n := 0
	for n < len(s.queue) {
		r := s.queue[n]
		current := s.byKey[r.Key] == r
		if current && (r.Expires.After(now) || r.State == StateRunning) {
			break
		}
		if current {
			s.remove(r.Key)
		}
		s.queue[n] = nil
		n++
	}
	s.queue = s.queue[n:]
}
