package launcher

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReloadSignalDuringTheStartEndsNothing guards against a signal to reload that ends a process which is still
// reading its settings: this test process would end.
func TestReloadSignalDuringTheStartEndsNothing(t *testing.T) {
	for name, run := range map[string]func(path string) error{
		"node":    func(path string) error { return RunNode(context.Background(), path, io.Discard, nil) },
		"control": func(path string) error { return RunControl(context.Background(), path, io.Discard, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, syscall.Mkfifo(path, 0o600))
			ended := make(chan error, 1)
			go func() { ended <- run(path) }()
			// The writer is opened once the settings are being read.
			settings, err := os.OpenFile(path, os.O_WRONLY, 0)
			assert.NilError(t, err)
			assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
			time.Sleep(50 * time.Millisecond) // A signal that is not handled ends the process by then.
			_, err = io.WriteString(settings, "[none]\n")
			assert.NilError(t, err)
			assert.NilError(t, settings.Close())
			assert.ErrorContains(t, <-ended, "read the settings")
		})
	}
}
