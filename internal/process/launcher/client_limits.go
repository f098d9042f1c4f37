package launcher

import (
	"math"
	"net/http"
	"syscall"

	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/limiter"
)

// clientKind is a kind of clients, which have a listener.
type clientKind struct {
	name string
	// weight is the share of the listener in the connections of the process.
	weight int
}

// Kinds of clients. A crowd of one kind takes nothing from the others.
var (
	// callerClients send requests to callers' addresses of a platform.
	callerClients = clientKind{"callers", 4}
	// requestClients are callers, and nodes that pass on requests of callers.
	requestClients = clientKind{"requests", 4}
	// peerClients are other processes, and operators.
	peerClients = clientKind{"peers", 2}
	// localClients are what stands beside the process, such as its upstream.
	localClients = clientKind{"local", 1}
)

const (
	// hopHeadBytes and hopHeadLines are what a node adds to the head of a caller's request when it
	// passes that on.
	hopHeadBytes = 4 << 10
	hopHeadLines = 64
)

// clientLimits bounds what the clients of a process take of its memory and descriptors.
type clientLimits struct {
	budget *limiter.Budget
	total  int // The sum of the weights of all listeners.
	scope  tally.Scope
}

// newClientLimits returns the limits of a process that may use the given memory in MB and
// descriptors, each 0 if that is not set, and that has a listener for each of the given kinds.
func newClientLimits(memoryMB, maxDescriptors int, scope tally.Scope, kinds ...clientKind) *clientLimits {
	c := &clientLimits{budget: limiter.NewBudget(memoryMB<<20, descriptors(maxDescriptors)), scope: scope.SubScope("limiter")}
	for _, k := range kinds {
		c.total += k.weight
	}
	return c
}

// limiter returns the limiter of one listener.
func (c *clientLimits) limiter(kind clientKind, limits func() limiter.Limits) *limiter.Limiter {
	return limiter.New(limiter.Config{
		Heads:       c.budget.Heads(),
		Connections: c.budget.Connections(kind.weight, c.total),
		Limits:      limits,
		Scope:       c.scope.Tagged(map[string]string{"clients": kind.name}),
	})
}

// boundBodies returns a handler that bounds the bodies that h reads whole.
func (c *clientLimits) boundBodies(h http.Handler) http.Handler { return c.budget.Bodies().Handler(h) }

// descriptors returns how many descriptors the process may open: what is set, or what the operating
// system allows.
func descriptors(set int) int {
	if set > 0 {
		return set
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// clientKinds returns the kinds of clients of the node's listeners.
func (n *Node) clientKinds(platform []ListenerSpec) []clientKind {
	kinds := []clientKind{requestClients, peerClients}
	for _, spec := range platform {
		kinds = append(kinds, spec.clients())
	}
	return kinds
}

// headLimits returns the limits of the head of a caller's request.
func (n *Node) headLimits() limiter.Limits {
	limits := limiter.DefaultLimits()
	if cfg := n.snapshots.Snapshot().Configuration(); cfg != nil {
		limits = limits.With(cfg.Limits().MaxHeaderBytes, cfg.Limits().HeaderTimeout)
	}
	return limits
}

// hopHeadLimits returns the limits of the head of a request that another node may have passed on.
func (n *Node) hopHeadLimits() limiter.Limits {
	return n.headLimits().Wider(hopHeadBytes, hopHeadLines)
}
