package forwarder

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStreamedBody(t *testing.T) {
	t.Run("earlier view can't read after revoke", func(t *testing.T) {
		b := &streamedBody{src: io.NopCloser(strings.NewReader("order"))}
		first := b.view()
		assert.Assert(t, !b.revoke())
		second := b.view()
		_, err := first.Read(make([]byte, 1))
		assert.ErrorIs(t, err, errRevoked)
		body, err := io.ReadAll(second)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "order")
	})
	t.Run("revoke keeps a view that has started to read", func(t *testing.T) {
		b := &streamedBody{src: io.NopCloser(strings.NewReader("order"))}
		first := b.view()
		_, err := first.Read(make([]byte, 1))
		assert.NilError(t, err)
		assert.Assert(t, b.revoke())
		rest, err := io.ReadAll(first)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "rder")
	})
}
