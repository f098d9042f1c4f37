package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// largeAnswer is the size, in bytes, from which on an answer is sent in turn
	// with others: smaller ones must not wait on the link behind large ones.
	largeAnswer = 32 << 10
	// maxBufferedAnswer bounds how much of one answer is taken from the upstream
	// before it is sent on, so that the upstream is free again.
	maxBufferedAnswer = 1 << 20
	// transfersAtOnce is how many large answers are on the link at the same time:
	// one fills it, a second one fills the gaps of the first.
	transfersAtOnce = 2
	// maxTransferWait is how long a large answer waits for its turn at most, so
	// that a reader that stalls holds up nobody for longer.
	maxTransferWait = time.Second
)

// transfers lets large answers go out one after the other. It answers load that
// fills the link of an instance before its slots: answers that share it all
// arrive late, and hold up the small ones.
type transfers struct{ turns chan struct{} }

func newTransfers() *transfers { return &transfers{turns: make(chan struct{}, transfersAtOnce)} }

// begin waits for a turn. The function that it returns ends the turn.
func (t *transfers) begin(ctx context.Context) func() {
	timer := time.NewTimer(maxTransferWait)
	defer timer.Stop()
	select {
	case t.turns <- struct{}{}:
		return func() { <-t.turns }
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}
}

// mayBeLarge reports whether an answer is large, or does not say.
func mayBeLarge(resp *http.Response) bool {
	return resp.Body != http.NoBody && (resp.ContentLength < 0 || resp.ContentLength >= largeAnswer)
}

// takeIn reads the body of an answer as fast as the upstream gives it, up to
// maxBufferedAnswer, so that its slot is free while the answer is sent on. What
// ends early still ends with the error that tells so. It reports whether the
// answer is large.
func takeIn(resp *http.Response) bool {
	var held bytes.Buffer
	_, err := io.Copy(&held, io.LimitReader(resp.Body, maxBufferedAnswer))
	large := held.Len() >= largeAnswer
	resp.Body = &bufferedBody{held: &held, rest: resp.Body, err: err}
	return large
}

// bufferedBody is a body of which the first part is held.
type bufferedBody struct {
	held *bytes.Buffer
	rest io.ReadCloser
	err  error // How reading ended before the held part was full; nil if it did not.
}

// Read reads the body.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if b.held.Len() > 0 {
		return b.held.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.rest.Read(p)
}

// Close ends the answer.
func (b *bufferedBody) Close() error { return b.rest.Close() }
