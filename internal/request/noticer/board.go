package noticer

import (
	"fmt"
	"sync"
	"time"
)

// retention is how long the notice of an instance that is out of view is kept, since it may
// only be cut off.
const retention = 10 * time.Minute

// Board keeps the latest notice that an entry node received from each instance. It is safe
// for concurrent use.
type Board struct {
	mu      sync.RWMutex
	entries map[string]entry // By instance id.
}

// entry is a notice and when it was received.
type entry struct {
	notice     Notice
	text       string
	receivedAt time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: make(map[string]entry)} }

// Notice returns the notice of an instance, or "" if there is none.
func (b *Board) Notice(instanceID string) string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.entries[instanceID].text
}

// Record records the notice in a response of an instance to a request that was sent at
// sentAt. For malformed text it returns ErrMalformed and changes nothing. An empty text, which must be in the response of an
// upstream rather than in a refusal, removes the notice held. That an upstream drains is
// replaced only by the response to a request that was sent after it was received.
func (b *Board) Record(instanceID, text string, sentAt time.Time) error {
	if text == "" && b.Notice(instanceID) == "" {
		return nil
	}
	var notice Notice
	if text != "" {
		var err error
		if notice, err = Parse(text); err != nil {
			return fmt.Errorf("notice of %s: %w", instanceID, err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.entries[instanceID]
	overtaken := !sentAt.After(held.receivedAt)
	switch {
	case overtaken && (text == "" || held.notice.Draining && !notice.Draining):
	case text == "":
		delete(b.entries, instanceID)
	default:
		b.entries[instanceID] = entry{notice: notice, text: text, receivedAt: time.Now()}
	}
	return nil
}

// Retain removes the notices of the instances for which inView returns false, once they are
// older than the retention.
func (b *Board) Retain(inView func(instanceID string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if !inView(id) && time.Since(e.receivedAt) > retention {
			delete(b.entries, id)
		}
	}
}
