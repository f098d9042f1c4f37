package limiter

import "sync"

const (
	// allowanceBytes is the part of the memory of a connection that is for ordinary heads, in bytes.
	allowanceBytes = 16 << 10
	// headByteCost and headLineCost are what each byte and each line of a head cost while its
	// request is served: parsed, copied for other requests, and not yet collected.
	headByteCost = 8
	headLineCost = 512
	// headsDivisor is the inverse of the part of the memory for heads beyond their allowance.
	headsDivisor = 8
	// defaultMemoryBytes is the memory of a process whose settings do not say.
	defaultMemoryBytes = 512 << 20
)

// HeadBytes returns the size of the pool for heads of a process with the given memory in bytes, 0 if
// that is not known.
func HeadBytes(memoryBytes int) int {
	if memoryBytes == 0 {
		memoryBytes = defaultMemoryBytes
	}
	return memoryBytes / headsDivisor
}

// headCost returns what part of a head costs in memory, in bytes.
func headCost(size, lines int) int { return size*headByteCost + lines*headLineCost }

// Pool is a number of bytes that is shared. It is safe for concurrent use.
type Pool struct {
	size int

	mu   sync.Mutex
	used int
}

// NewPool returns a pool of which nothing is used, with a size in bytes.
func NewPool(size int) *Pool { return &Pool{size: size} }

// resize changes what a user holds from old to new bytes. It returns false, and changes nothing, if
// too little is left. A single user may take more than the size.
func (p *Pool) resize(from, to int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := p.used - from
	if to > from && others > 0 && others+to > p.size {
		return false
	}
	p.used = others + to
	return true
}
