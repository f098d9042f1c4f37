package recoverer_test

import (
	"io"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/telemetry/recoverer"
)

func TestCall(t *testing.T) {
	assert.NilError(t, recoverer.Call(func() error { return nil }))
	assert.ErrorIs(t, recoverer.Call(func() error { return io.EOF }), io.EOF)
	err := recoverer.Call(func() error {
		var list []int
		list[len(os.Args)] = 1
		return nil
	})
	var panicErr *recoverer.PanicError
	assert.Assert(t, errors.As(err, &panicErr), "%v", err)
	assert.ErrorContains(t, err, "index out of range")
	assert.Assert(t, strings.Contains(panicErr.Stack(), "TestCall"))
}
