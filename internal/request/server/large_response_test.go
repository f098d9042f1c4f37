package server

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// truncatedBody returns errTruncated instead of io.EOF.
type truncatedBody struct{ io.Reader }

var errTruncated = errors.New("truncated")

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errTruncated
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

// TestBufferResponsePreservesEndOfBody guards against a truncated response that is
// buffered and then looks complete.
func TestBufferResponsePreservesEndOfBody(t *testing.T) {
	small := &http.Response{Body: io.NopCloser(strings.NewReader("a price"))}
	assert.Assert(t, bufferResponse(small) < minPacedResponse, "a small response is paced")
	text := strings.Repeat("x", 2*minPacedResponse)
	complete := &http.Response{Body: io.NopCloser(strings.NewReader(text))}
	assert.Equal(t, bufferResponse(complete), len(text))
	got, err := io.ReadAll(complete.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(text))
	truncated := &http.Response{Body: truncatedBody{strings.NewReader(text)}}
	assert.Equal(t, bufferResponse(truncated), len(text))
	got, err = io.ReadAll(truncated.Body)
	assert.ErrorIs(t, err, errTruncated)
	assert.Equal(t, len(got), len(text))
}
