package launcher

import (
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/connection/limiter"
)

// Kinds of clients, which have a listener each.
const (
	// callerClients send requests to callers' addresses of a platform.
	callerClients = "callers"
	// requestClients are callers, and nodes that pass on requests of callers.
	requestClients = "requests"
	// peerClients are other processes, and operators.
	peerClients = "peers"
	// localClients are what stands beside the process, such as its upstream.
	localClients = "local"
)

const (
	// hopHeadBytes and hopHeadLines are what a node adds to the head of a caller's request when it
	// passes that on.
	hopHeadBytes = 4 << 10
	hopHeadLines = 64
)

// clientLimits bounds what the clients of a process take of its memory.
type clientLimits struct {
	heads *limiter.Pool
	scope tally.Scope
}

// newClientLimits returns the limits of a process that may use the given memory in MB, 0 if that is
// not set.
func newClientLimits(memoryMB int, scope tally.Scope) *clientLimits {
	return &clientLimits{heads: limiter.NewPool(limiter.HeadBytes(memoryMB << 20)), scope: scope.SubScope("limiter")}
}

// limiter returns the limiter of one listener.
func (c *clientLimits) limiter(kind string, limits func() limiter.Limits) *limiter.Limiter {
	return limiter.New(limiter.Config{
		Heads:  c.heads,
		Limits: limits,
		Scope:  c.scope.Tagged(map[string]string{"clients": kind}),
	})
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
