package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestLargeAnswersTakeTurns checks that a third large answer waits for one of
// two, and that a stalled one holds it up for a bounded time.
func TestLargeAnswersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := newTransfers()
		ctx := context.Background()
		first := turns.begin(ctx)
		turns.begin(ctx) // Never ends.
		time.AfterFunc(100*time.Millisecond, first)
		start := time.Now()
		turns.begin(ctx)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		turns.begin(ctx)
		assert.Equal(t, time.Since(start), 100*time.Millisecond+maxTransferWait)
	})
}

// broken is a body that breaks off.
type broken struct{ io.Reader }

var errBroken = errors.New("broken off")

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errBroken
	}
	return n, err
}

func (broken) Close() error { return nil }

func TestTakenAnswersEndAsTheyDid(t *testing.T) {
	small := &http.Response{Body: io.NopCloser(strings.NewReader("a price"))}
	assert.Assert(t, !takeIn(small), "a small answer waits for nobody")
	text := strings.Repeat("x", 2*largeAnswer)
	whole := &http.Response{Body: io.NopCloser(strings.NewReader(text))}
	assert.Assert(t, takeIn(whole))
	got, err := io.ReadAll(whole.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(text))
	part := &http.Response{Body: broken{strings.NewReader(text)}}
	assert.Assert(t, takeIn(part))
	got, err = io.ReadAll(part.Body)
	assert.ErrorIs(t, err, errBroken)
	assert.Equal(t, len(got), len(text))
}
