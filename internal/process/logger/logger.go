// Package logger makes the loggers of the parts of a process.
//
// # Usage
//
//	out, flush := logger.NonBlocking(os.Stdout)
//	defer flush()
//	base := logger.New(out)
//	log := logger.Part(base, "gossiper")
//	log.Info().Str("instance", id).Msg("Instance joined.")
//	lines := logger.NewBudget(linesPerSecond)
//	lines.Line(log.Info()).Str("request", id).Msg("Request ended.")
//
// A line is one JSON object with the time, the level, the part's name, a short
// sentence and the fields. A reader that does not keep up costs lines, never
// time: NonBlocking counts what it leaves out. A Budget bounds the lines of one
// kind under load.
package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// partField is the field that names the part that wrote a line.
	partField = "part"
	// leftOutField is the field that tells how many lines of the same kind were
	// left out before a line.
	leftOutField = "left-out"
	// bufferedLines is how many lines wait for a slow reader.
	bufferedLines = 2048
)

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes lines to w.
func New(w io.Writer) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Logger()
}

// NonBlocking returns a writer that never waits for w, and a function that
// writes what is buffered and ends it.
func NonBlocking(w io.Writer) (io.Writer, func()) {
	out := diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		log := New(w)
		log.Warn().Str(partField, "logger").Int(leftOutField, missed).Msg("Lines were left out, since the reader is slow.")
	})
	return out, func() {
		_ = out.Close() // Nobody is left to be told.
	}
}

// Part returns a logger whose lines bear the name of the part.
func Part(base zerolog.Logger, name string) zerolog.Logger {
	return base.With().Str(partField, name).Logger()
}
