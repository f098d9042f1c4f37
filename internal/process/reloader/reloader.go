// Package reloader reloads the settings of a process when their file changes or when a
// signal requests it.
//
// # Usage
//
//	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: log})
//	r.Start()
//	err := r.Stop()
//
// If the new settings are invalid, the error is logged and the process keeps its current
// settings.
package reloader

import (
	"bytes"
	"crypto/sha256"
	"os"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
)

// checkInterval is the interval between checks of the file.
const checkInterval = time.Second

// Config lists what a Reloader depends on.
type Config struct {
	// Path is the path of the settings file.
	Path string
	// Signals receives the signals that request a reload. It may be nil.
	Signals <-chan os.Signal
	// Reload reads the settings and applies them.
	Reload func() error
	Log    zerolog.Logger
}

// Reloader watches one settings file.
type Reloader struct {
	cfg        Config
	lastDigest []byte // Digest of the last content that was loaded or rejected.
	tomb       tomb.Tomb
}

// New returns a reloader for settings that the process has already read.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg}
	r.lastDigest, _ = r.digest() // A missing file counts as changed once it exists.
	return r
}

// Start starts watching the file and the signals.
func (r *Reloader) Start() { r.tomb.Go(r.run) }

// Stop stops watching.
func (r *Reloader) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// run reloads the settings on each signal and whenever a periodic check finds the file
// changed, until Stop.
func (r *Reloader) run() error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.cfg.Signals:
			r.maybeReload("signal", true)
		case <-ticker.C:
			r.maybeReload("file", false)
		}
	}
}

// maybeReload reloads the settings if the file changed or if forced. It ignores an
// unreadable file unless forced.
func (r *Reloader) maybeReload(cause string, forced bool) {
	digest, err := r.digest()
	if err != nil {
		if forced {
			r.cfg.Log.Error().Err(err).Str("cause", cause).Msg("Failed to read the settings file.")
		}
		return
	}
	if !forced && bytes.Equal(digest, r.lastDigest) {
		return
	}
	r.lastDigest = digest
	if err := r.cfg.Reload(); err != nil {
		r.cfg.Log.Error().Err(err).Str("cause", cause).Msg("Failed to reload the settings.")
		return
	}
	r.cfg.Log.Info().Str("cause", cause).Msg("Settings reloaded.")
}

// digest returns the digest of the file's content.
func (r *Reloader) digest() ([]byte, error) {
	data, err := os.ReadFile(r.cfg.Path)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}
