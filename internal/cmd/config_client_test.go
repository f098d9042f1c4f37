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

// TestSilentInstanceIsAskedOnce submits with the address of an instance that
// does not answer in front of one that does. A command asks several questions;
// each one that goes to the silent instance first costs a timeout.
func TestSilentInstanceIsAskedOnce(t *testing.T) {
	var asked atomic.Int32
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(silent.Close)
	_, address := startFakeControl(t.Cleanup)
	t.Chdir(t.TempDir())
	assert.NilError(t, os.WriteFile("base.ini", []byte("[owner talleres]\nidle-rate = 0.35\ncurrency = MXN\n\n[service vitrina]\nowner = talleres\nhosts = vitrina.oax\n"), 0o644))

	var out bytes.Buffer
	code := cmd.Run([]string{
		"config", "submit", "--control", silent.Listener.Addr().String() + "," + address, "--replaces", "0",
		"--operator", "maria", "--message", "First version", "base.ini",
	}, &out, &out)

	assert.Equal(t, code, 0, out.String())
	assert.Equal(t, asked.Load(), int32(1))
}
