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

// TestReloadsOnSignalAndFileChange checks that a signal and a change of the file each
// reload the settings, and that the watch continues after invalid settings.
func TestReloadsOnSignalAndFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	signals := make(chan os.Signal, 1)
	reads := make(chan string)
	errInvalid := errors.New("invalid settings")
	r := reloader.New(reloader.Config{Path: path, Signals: signals, Log: zerolog.Nop(), Reload: func() error {
		data, err := os.ReadFile(path)
		reads <- string(data)
		if err == nil && string(data) == "invalid" {
			return errInvalid
		}
		return err
	}})
	r.Start()
	signals <- os.Interrupt
	assert.Equal(t, <-reads, "a")
	for _, text := range []string{"invalid", "b"} {
		assert.NilError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		assert.NilError(t, os.Rename(path+".new", path))
		assert.Equal(t, <-reads, text)
	}
	assert.NilError(t, r.Stop())
}
