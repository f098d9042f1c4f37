// Package logger creates the loggers of the parts of a process.
//
// # Usage
//
//	out, flush := logger.NonBlocking(os.Stdout)
//	defer flush()
//	base := logger.New(out)
//	log := logger.Part(base, "gossiper")
//	log.Info().Str("instance", id).Msg("Instance joined.")
//	limiter := logger.NewLimiter(linesPerSecond)
//	limiter.Limit(log.Info()).Str("request", id).Msg("Request ended.")
//
// A line is one JSON object with the time, the level, the part's name, a short sentence
// and the fields. A reader that does not keep up never blocks the process: NonBlocking
// drops and counts lines instead. A Limiter bounds the lines of one kind under load.
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
	// droppedField is the field with the number of lines that were dropped before a line.
	droppedField = "left-out"
	// bufferedLines is how many lines are buffered for a slow reader.
	bufferedLines = 2048
)

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes lines to w.
func New(w io.Writer) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Logger()
}

// NonBlocking returns a writer that buffers lines for w and never waits for it, and a
// function that flushes the buffer and closes the writer.
func NonBlocking(w io.Writer) (io.Writer, func()) {
	out := diode.NewWriter(w, bufferedLines, 0, func(dropped int) {
		log := New(w)
		log.Warn().Str(partField, "logger").Int(droppedField, dropped).Msg("Dropped log lines because the reader is slow.")
	})
	return out, func() {
		_ = out.Close() // At exit, the error cannot be logged any more.
	}
}

// Part returns a logger that adds the part's name to its lines.
func Part(base zerolog.Logger, name string) zerolog.Logger {
	return base.With().Str(partField, name).Logger()
}
