package reloader_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/reloader"
)

// TestSettingsAreReadAgain checks that a signal and a change of the file have
// the settings read, and that a fault does not end that.
func TestSettingsAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	signals := make(chan os.Signal, 1)
	reads := make(chan string)
	fault := errors.New("a fault")
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Log: zerolog.Nop(), Reload: func() error {
		data, err := os.ReadFile(path)
		reads <- string(data)
		if err == nil && string(data) == "faulty" {
			return fault
		}
		return err
	}})
	r.Start()
	signals <- os.Interrupt
	assert.Equal(t, <-reads, "a")
	for _, text := range []string{"faulty", "b"} {
		assert.NilError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		assert.NilError(t, os.Rename(path+".new", path))
		assert.Equal(t, <-reads, text)
	}
	assert.NilError(t, r.Stop())
}
