// Package pacer sends large answers over the link of an instance one after the
// other, no faster than the link carries them.
//
// # Usage
//
//	p := pacer.New(bytesPerSecond)
//	body := p.Begin(ctx, size, body)   // waits for its turn
//	defer body.Close()                 // ends it
//	_, err := io.Copy(w, body)         // reads no faster than the link sends
//	wait := p.Wait()                   // until a large answer would have its turn
//
// It answers load that fills the link of an instance before its slots: answers
// that share the link all arrive late, and what is handed to the link before it
// can be sent holds up every small message behind it.
package pacer

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxConcurrent is how many large answers are on the link at the same time: one
	// fills it, a second one fills the gaps of the first.
	maxConcurrent = 2
	// maxTurnWait is how long a large answer waits for its turn at most, so that
	// a reader that stalls holds up nobody for longer.
	maxTurnWait = time.Second
	// chunkSize is how many bytes are handed to the link at once.
	chunkSize = 8 << 10
	// linkShare is the share of the link that large answers take. The rest is
	// left to small messages and to the headers of packets.
	linkShare = 0.9
)

// Pacer shares out one link. It is safe for concurrent use.
type Pacer struct {
	bytesPerSecond float64 // 0 if that is not known.
	turns          chan struct{}

	mu         sync.Mutex
	linkFreeAt time.Time // When the link has sent what was handed to it.
	backlog    int       // Bytes of large answers that wait or are being sent.
}

// New returns a pacer of a link that carries so many bytes a second; with 0 it
// gives turns and does not pace.
func New(bytesPerSecond float64) *Pacer {
	return &Pacer{bytesPerSecond: linkShare * bytesPerSecond, turns: make(chan struct{}, maxConcurrent)}
}

// Begin waits for the turn of a large answer of the given size, and returns its
// body, which is read no faster than the link sends it. The turn ends when that
// is closed.
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

// Wait returns how long a large answer that comes now waits for its turn, as far
// as that is known.
func (p *Pacer) Wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(p.backlog) / p.bytesPerSecond * float64(time.Second))
}

// addBacklog counts bytes of large answers in, or out if n is negative.
func (p *Pacer) addBacklog(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog += n
}

// reserve books n bytes on the link, and returns how long to wait before they
// are handed to it.
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

// pacedBody is the body of a large answer on its way over the link.
type pacedBody struct {
	io.ReadCloser
	pacer     *Pacer
	ctx       context.Context
	hasTurn   bool
	unsent    int // Bytes of the size told that were not read yet.
	closeOnce sync.Once
}

// Read reads the next piece, and returns when the link has room for it.
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

// Close ends the turn.
func (b *pacedBody) Close() error {
	b.closeOnce.Do(func() {
		b.pacer.addBacklog(-b.unsent)
		if b.hasTurn {
			<-b.pacer.turns
		}
	})
	return b.ReadCloser.Close()
}

// sleep waits, or until the answer is not wanted any more.
func (b *pacedBody) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.ctx.Done():
	}
}
