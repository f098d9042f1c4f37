package pacer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/pacer"
)

// largeBody returns a response body of the given size.
func largeBody(size int) io.ReadCloser {
	return io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
}

// sendBody sends a response body and returns the time from start to its end.
func sendBody(t *testing.T, p *pacer.Pacer, size int, start time.Time) time.Duration {
	t.Helper()
	body := p.Begin(context.Background(), size, largeBody(size))
	n, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	assert.NilError(t, body.Close())
	return time.Since(start)
}

// TestLargeResponsesTakeTurns checks that a third large response waits until one of
// two ends, and that a stalled one blocks others only for a bounded time.
func TestLargeResponsesTakeTurns(t *testing.T) {
	const maxTurnWait = time.Second
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(0)
		ctx := context.Background()
		first := p.Begin(ctx, 1, largeBody(1))
		p.Begin(ctx, 1, largeBody(1)) // Never ends.
		time.AfterFunc(100*time.Millisecond, func() { first.Close() })
		start := time.Now()
		p.Begin(ctx, 1, largeBody(1))
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		p.Begin(ctx, 1, largeBody(1))
		assert.Equal(t, time.Since(start), 100*time.Millisecond+maxTurnWait)
	})
}

// TestBytesAreSentNoFasterThanTheLinkCarries checks that three concurrent responses
// take a third of a second on a link that carries 9 of them per second, and that the
// wait is estimated accordingly.
func TestBytesAreSentNoFasterThanTheLinkCarries(t *testing.T) {
	const size = 100_000
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(10 * size) // Nine tenths of it are used for large responses.
		start := time.Now()
		ends := make(chan time.Duration, 3)
		for range 3 {
			go func() { ends <- sendBody(t, p, size, start) }()
		}
		time.Sleep(time.Millisecond)
		wait := p.EstimatedWait()
		assert.Assert(t, wait > 200*time.Millisecond && wait < 334*time.Millisecond, "%s", wait)
		for range 2 {
			<-ends
		}
		last := <-ends
		assert.Assert(t, last > 300*time.Millisecond && last < 334*time.Millisecond, "%s", last)
		assert.Equal(t, p.EstimatedWait(), time.Duration(0))
	})
}

// TestClosedBodyReleasesItsBacklog checks that a response that was canceled and
// closed no longer counts toward the wait of others.
func TestClosedBodyReleasesItsBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pacer.New(1000)
		ctx, cancel := context.WithCancel(context.Background())
		body := p.Begin(ctx, 100_000, largeBody(100_000))
		assert.Assert(t, p.EstimatedWait() > time.Minute)
		cancel()
		assert.NilError(t, body.Close())
		assert.Equal(t, p.EstimatedWait(), time.Duration(0))
	})
}
