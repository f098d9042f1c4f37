package retainer

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Gate bounds the bytes of the responses that are being sent at the same time.
type Gate struct {
	maxBytes int64
	free     *semaphore.Weighted
}

// NewGate returns a gate for at most maxBytes bytes at once.
func NewGate(maxBytes int) *Gate {
	return &Gate{maxBytes: int64(maxBytes), free: semaphore.NewWeighted(int64(maxBytes))}
}

// Enter reports whether a response of the given size may be sent now. It counts until ctx, that
// of its request, is done. A response above the bound may be sent while no other one is.
func (g *Gate) Enter(ctx context.Context, bytes int) bool {
	n := min(int64(bytes), g.maxBytes)
	if !g.free.TryAcquire(n) {
		return false
	}
	context.AfterFunc(ctx, func() { g.free.Release(n) })
	return true
}
