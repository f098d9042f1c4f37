// Package pacer limits how many large bodies, of responses and of requests to other instances,
// share the link of an instance, and sends them no faster than the link carries them.
//
// # Usage
//
//	p := pacer.New(bytesPerSecond)
//	paced := p.Begin(ctx, size, body)  // waits for a turn
//	defer paced.Close()                // ends the turn
//	_, err := io.Copy(w, paced)        // reads at the rate of the link
//	wait := p.EstimatedWait()          // estimated wait of the next large body
//
// It is meant for load that saturates the link of an instance before all of the
// instance's slots are in use. Large bodies that share the link all arrive late, and
// bytes written before the link can carry them delay every small message queued behind
// them.
package pacer

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxConcurrent is the number of large bodies sent at the same time: one
	// saturates the link, and a second uses the gaps of the first.
	maxConcurrent = 2
	// maxTurnWait is the longest wait for a turn. Without it a stalled reader would
	// block others for as long as it stalls.
	maxTurnWait = time.Second
	// chunkSize is the largest number of bytes read, and so written to the link, at
	// once.
	chunkSize = 8 << 10
	// linkShare is the share of the link used for large bodies. The rest is left
	// for small messages and packet headers.
	linkShare = 0.9
)

// Pacer schedules large bodies on one link. It is safe for concurrent use.
type Pacer struct {
	bytesPerSecond float64 // For large bodies; 0 if unknown.
	turns          chan struct{}

	mu         sync.Mutex // Guards the fields below.
	linkFreeAt time.Time  // When the link has sent all reserved bytes.
	backlog    int        // Unsent bytes of large bodies, waiting or in transfer.
}

// New returns a pacer for a link with the given capacity. With 0 it limits
// concurrency but not the rate.
func New(bytesPerSecond float64) *Pacer {
	return &Pacer{bytesPerSecond: linkShare * bytesPerSecond, turns: make(chan struct{}, maxConcurrent)}
}

// Begin waits until a large body of the given size has its turn, but no longer
// than maxTurnWait or until ctx is done. It returns a body that is read no faster
// than the link sends it. Closing that body ends the turn.
func (p *Pacer) Begin(ctx context.Context, size int, body io.ReadCloser) io.ReadCloser {
	p.addBacklog(size)
	paced := &pacedBody{ReadCloser: body, pacer: p, ctx: ctx, unsent: size}
	timer := time.NewTimer(maxTurnWait)
	defer timer.Stop()
	select {
	case p.turns <- struct{}{}:
		paced.hasTurn = true
	case <-timer.C:
	case <-ctx.Done():
	}
	return paced
}

// EstimatedWait returns the estimated wait of a large body that arrives now, or
// 0 if the capacity of the link is unknown. It does not block.
func (p *Pacer) EstimatedWait() time.Duration { return p.EstimatedTime(0) }

// EstimatedTime returns the estimated time until a body of the given size that is sent now has been
// sent, or 0 if the capacity of the link is unknown. It does not block.
func (p *Pacer) EstimatedTime(size int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(p.backlog+size) / p.bytesPerSecond * float64(time.Second))
}

// addBacklog adds n bytes, which may be negative, to the backlog.
func (p *Pacer) addBacklog(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog += n
}

// reserve reserves n bytes on the link and returns the time until they may be sent.
func (p *Pacer) reserve(n int, now time.Time) time.Duration {
	if p.bytesPerSecond <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.linkFreeAt
	if start.Before(now) {
		start = now
	}
	p.linkFreeAt = start.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	return start.Sub(now)
}

// pacedBody is a large body, read at the rate of the link.
type pacedBody struct {
	io.ReadCloser
	pacer     *Pacer
	ctx       context.Context
	hasTurn   bool
	unsent    int // Bytes of the announced size not read yet.
	closeOnce sync.Once
}

// Read reads the next chunk and returns when the link can send it.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), chunkSize)])
	if n == 0 {
		return n, err
	}
	sent := min(n, b.unsent)
	b.unsent -= sent
	b.pacer.addBacklog(-sent)
	if wait := b.pacer.reserve(n, time.Now()); wait > 0 {
		b.sleep(wait)
	}
	return n, err
}

// Close ends the turn, removes the unread bytes from the backlog and closes the
// underlying body.
func (b *pacedBody) Close() error {
	b.closeOnce.Do(func() {
		b.pacer.addBacklog(-b.unsent)
		if b.hasTurn {
			<-b.pacer.turns
		}
	})
	return b.ReadCloser.Close()
}

// sleep waits for d or until the request is canceled.
func (b *pacedBody) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.ctx.Done():
	}
}
