// Package logger makes the loggers of the parts of a process.
//
// # Usage
//
//	base := logger.New(os.Stderr)
//	log := logger.Part(base, "gossiper")
//	log.Info().Str("instance", id).Msg("Instance joined.")
//
// A line has the time, the level, the part's name as a prefix, a short
// sentence and then the fields.
package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// partField is the field that names the part that wrote a line.
const partField = "part"

// New returns a logger that writes lines to w.
func New(w io.Writer) zerolog.Logger {
	out := zerolog.ConsoleWriter{
		Out:           w,
		NoColor:       true,
		TimeFormat:    time.RFC3339Nano,
		FieldsExclude: []string{partField},
		PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, partField, zerolog.MessageFieldName},
		FormatPartValueByName: func(value any, name string) string {
			if name == partField && value != nil {
				return fmt.Sprintf("%s:", value)
			}
			return ""
		},
	}
	return zerolog.New(out).With().Timestamp().Logger()
}

// Part returns a logger whose lines bear the prefix of the named part.
func Part(base zerolog.Logger, name string) zerolog.Logger {
	return base.With().Str(partField, name).Logger()
}
