// Package reloader has a process read its settings again when their file
// changes, or when a signal says so.
//
// # Usage
//
//	r := reloader.New(reloader.Config{Path: path, Signals: signals, Reload: reload, Log: log})
//	r.Start()
//	err := r.Stop()
//
// Settings with a fault are logged and change nothing.
package reloader

import (
	"bytes"
	"crypto/sha256"
	"os"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
)

// checkInterval is how often the file is looked at.
const checkInterval = time.Second

// Config lists what a Reloader depends on.
type Config struct {
	// Path is where the settings are.
	Path string
	// Signals gets a value when the settings have changed; nil for none.
	Signals <-chan os.Signal
	// Reload reads the settings and takes them over.
	Reload func() error
	Log    zerolog.Logger
}

// Reloader watches one file of settings.
type Reloader struct {
	cfg  Config
	seen []byte // Digest of the content that was taken over, or refused, last.
	tomb tomb.Tomb
}

// New returns a reloader of settings that were read before.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg}
	r.seen, _ = r.digest() // A file that is gone by now differs when it is back.
	return r
}

// Start begins to watch.
func (r *Reloader) Start() { r.tomb.Go(r.run) }

// Stop ends the watch.
func (r *Reloader) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *Reloader) run() error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.cfg.Signals:
			r.check("signal", true)
		case <-tick.C:
			r.check("file", false)
		}
	}
}

// check reads the settings again if they changed, or if that was asked for.
func (r *Reloader) check(cause string, asked bool) {
	digest, err := r.digest()
	if err != nil {
		if asked {
			r.cfg.Log.Error().Err(err).Str("cause", cause).Msg("Settings not read again.")
		}
		return
	}
	if !asked && bytes.Equal(digest, r.seen) {
		return
	}
	r.seen = digest
	if err := r.cfg.Reload(); err != nil {
		r.cfg.Log.Error().Err(err).Str("cause", cause).Msg("Settings not taken over.")
		return
	}
	r.cfg.Log.Info().Str("cause", cause).Msg("Settings read again.")
}

func (r *Reloader) digest() ([]byte, error) {
	data, err := os.ReadFile(r.cfg.Path)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}
