package server

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

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
	assert.Assert(t, takeIn(small) < largeAnswer, "a small answer waits for nobody")
	text := strings.Repeat("x", 2*largeAnswer)
	whole := &http.Response{Body: io.NopCloser(strings.NewReader(text))}
	assert.Equal(t, takeIn(whole), len(text))
	got, err := io.ReadAll(whole.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(text))
	part := &http.Response{Body: broken{strings.NewReader(text)}}
	assert.Equal(t, takeIn(part), len(text))
	got, err = io.ReadAll(part.Body)
	assert.ErrorIs(t, err, errBroken)
	assert.Equal(t, len(got), len(text))
}
