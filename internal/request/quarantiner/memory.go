package quarantiner

import "sync"

// maxBuffered is the number of bytes of streamed bodies that a node holds in memory at most.
const maxBuffered = 8 << 20

// memory is a limited number of bytes.
type memory struct {
	mu   sync.Mutex
	free int
}

// take takes n bytes. It returns false, and takes none, if fewer are free.
func (m *memory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

// give gives n bytes back.
func (m *memory) give(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}
