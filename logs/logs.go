// Package logs makes the loggers of the parts: structured lines with a fixed
// prefix for each part and short sentences.
//
// # Usage
//
//	root := logs.New(os.Stderr, "info")
//	l := logs.Part(root, "limit")
//	l.Info().Str("customer", "sur").Msg("limit: charge refused")
//
// Decision lines carry the field decision=true, so that one command can pick
// them out, and are never sampled.
package logs

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// New returns the root logger that writes JSON lines to w. The level is one
// of debug, info, warn and error: a higher one would leave out decision lines.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || l < zerolog.DebugLevel || l > zerolog.ErrorLevel {
		return zerolog.Nop(), errors.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// Component returns the logger of one part. Its lines carry the part's name.
func Component(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

// Decision starts a decision line, which is written at every level.
func Decision(l zerolog.Logger) *zerolog.Event {
	return l.Log().Bool("decision", true)
}
