package limiter

import "sync"

const (
	// connectionBytes is what a connection costs in memory, with an ordinary head and what its
	// server keeps for it, in bytes.
	connectionBytes = 32 << 10
	// allowanceBytes is the part of it that is for the head.
	allowanceBytes = 16 << 10
	// headByteCost and headLineCost are what each byte and each line of a head cost while its
	// request is served: parsed, copied for other requests, and not yet collected.
	headByteCost = 8
	headLineCost = 512
	// connectionsDivisor, headsDivisor and bodiesDivisor are the inverse of the parts of the memory
	// for connections, for heads beyond their allowance, and for bodies that are read whole.
	connectionsDivisor = 4
	headsDivisor       = 8
	bodiesDivisor      = 8
	// clientDivisor is the inverse of the part of the descriptors for clients. The rest is for
	// what the process opens itself, such as a connection for each request that it passes on.
	clientDivisor = 2
	// defaultMemoryBytes is the memory of a process whose settings do not say.
	defaultMemoryBytes = 512 << 20
	// minConnections is the least number of connections of a listener.
	minConnections = 8
)

// Budget is the part of the memory and of the descriptors of a process that is for its clients.
type Budget struct {
	connections int
	heads       *Pool
	bodies      *Bodies
}

// NewBudget returns the budget of a process with the given memory in bytes, 0 if that is not known,
// and descriptors.
func NewBudget(memoryBytes, descriptors int) *Budget {
	if memoryBytes == 0 {
		memoryBytes = defaultMemoryBytes
	}
	connections := min(memoryBytes/connectionsDivisor/connectionBytes, descriptors/clientDivisor)
	return &Budget{
		connections: connections,
		heads:       NewPool(memoryBytes / headsDivisor),
		bodies:      NewBodies(NewPool(memoryBytes / bodiesDivisor)),
	}
}

// Heads returns the pool for heads beyond the allowance of their connections.
func (b *Budget) Heads() *Pool { return b.heads }

// Bodies returns the bound for bodies that are read whole.
func (b *Budget) Bodies() *Bodies { return b.bodies }

// Connections returns the number of connections of a listener with the given part of the total weight.
func (b *Budget) Connections(weight, total int) int {
	return max(b.connections*weight/total, minConnections)
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
