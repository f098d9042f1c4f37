package cmd_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/cmd"
)

// TestUnavailableInstanceIsCalledOnce submits to an unavailable instance followed
// by a working one. A command makes several calls, and each of them that starts
// at an unreachable instance costs a timeout; only the first may.
func TestUnavailableInstanceIsCalledOnce(t *testing.T) {
	var calls atomic.Int32
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(unavailable.Close)
	_, address := startFakeControl(t.Cleanup)
	t.Chdir(t.TempDir())
	assert.NilError(t, os.WriteFile("base.ini", []byte("[owner talleres]\nidle-rate = 0.35\ncurrency = MXN\n\n[service vitrina]\nowner = talleres\nhosts = vitrina.oax\n"), 0o644))

	var out bytes.Buffer
	code := cmd.Run([]string{
		"config", "submit", "--control", unavailable.Listener.Addr().String() + "," + address, "--replaces", "0",
		"--operator", "maria", "--message", "First version", "base.ini",
	}, &out, &out)

	assert.Equal(t, code, 0, out.String())
	assert.Equal(t, calls.Load(), int32(1))
}
