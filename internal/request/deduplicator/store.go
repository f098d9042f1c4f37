package deduplicator

import (
	"time"
)

// store holds records, bounded by their number, by the total size of their keys and by that of their
// responses. It never evicts a record before it expires.
type store struct {
	maxKeys, maxBytes int
	maxKeyBytes       int // 0 for no bound.
	byKey             map[string]*Record
	// queue holds the records in the order in which they were added.
	queue []*Record
	// keyBytes is the total size of the keys.
	keyBytes int
	// bytes is the total size of the stored responses.
	bytes int
}

func newStore(cfg Config) *store {
	return &store{maxKeys: cfg.MaxKeys, maxBytes: cfg.MaxBytes, maxKeyBytes: cfg.MaxKeyBytes, byKey: make(map[string]*Record)}
}

// get returns the record of a key, or nil if there is none or it has expired.
func (s *store) get(key string, now time.Time) *Record {
	s.expire(now)
	r := s.byKey[key]
	if r == nil || !r.Expires.After(now) {
		return nil
	}
	return r
}

// put adds a record, or replaces the one with the same key. It returns false if
// maxKeys is reached, or the keys would take too much memory.
func (s *store) put(r *Record) bool {
	if s.byKey[r.Key] == nil && !s.hasRoom(r.Key) {
		return false
	}
	s.remove(r.Key)
	s.byKey[r.Key] = r
	s.queue = append(s.queue, r)
	s.keyBytes += len(r.Key)
	s.bytes += r.Response.size()
	return true
}

// hasRoom reports whether another key can be stored.
func (s *store) hasRoom(key string) bool {
	return len(s.byKey) < s.maxKeys && (s.maxKeyBytes == 0 || s.keyBytes+len(key) <= s.maxKeyBytes)
}

// keepResponse adds a response to a stored record, unless it would exceed
// maxBytes.
func (s *store) keepResponse(r *Record, resp *Response) {
	if s.bytes+resp.size() > s.maxBytes {
		return
	}
	r.Response = resp
	s.bytes += resp.size()
}

func (s *store) remove(key string) {
	if r := s.byKey[key]; r != nil {
		s.keyBytes -= len(key)
		s.bytes -= r.Response.size()
		delete(s.byKey, key)
	}
}

// expire removes records from the head of the queue while they are expired or
// already removed from byKey. It keeps the record of a key that is running.
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
