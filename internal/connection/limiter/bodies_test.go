package limiter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// serveBody serves a request with a body of the given size, and returns the error of reading it.
func serveBody(b *Bodies, size int, while func()) error {
	var err error
	h := b.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err = io.Copy(io.Discard, r.Body)
		while()
	}))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
	return err
}

// TestBodiesAreBoundedTogether guards against large bodies of many requests that fill the memory.
func TestBodiesAreBoundedTogether(t *testing.T) {
	const size = 1 << 20
	pool := NewPool(3 * size * bodyByteCost / 2)
	b := NewBodies(pool)
	err := serveBody(b, size, func() {
		assert.Assert(t, errors.Is(serveBody(b, size, func() {}), ErrCrowded))
		assert.NilError(t, serveBody(b, bodyAllowanceBytes, func() {}), "a small body takes nothing")
	})
	assert.NilError(t, err)
	assert.Equal(t, pool.used, 0)
	assert.NilError(t, serveBody(b, 4*size, func() {}), "a single body may exceed the pool")
	assert.Equal(t, pool.used, 0)
}
