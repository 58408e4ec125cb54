// Package logs creates the loggers of the router's components. Lines are structured (JSON). Each
// message is a short sentence that starts with the name of its component.
//
// # Usage
//
//	root, err := logs.New(os.Stderr, "info")
//	l := logs.Component(root, "limit")
//	l.Info().Str("customer", "sur").Msg("limit: request rejected")
//
// Decision lines record how a request was handled. They have the field decision=true, by which a
// command can select them. They are never sampled.
//
// # Concurrency
//
// Loggers may be used concurrently if their writer may. An AsyncWriter may be used concurrently.
package logs

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// The format is that of the whole process, and loggers may be in use when another one is made.
func init() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro }

// New returns the root logger, which writes JSON lines to w. The level is debug, info, warn or
// error. Higher levels are rejected because they would suppress decision lines.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || l < zerolog.DebugLevel || l > zerolog.ErrorLevel {
		return zerolog.Nop(), errors.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// Component returns the logger of a component. Its lines have the component's name in the field
// "part".
func Component(l zerolog.Logger, name string) zerolog.Logger {
	return l.With().Str("part", name).Logger()
}

// Decision starts a decision line, which is written at every level.
func Decision(l zerolog.Logger) *zerolog.Event {
	return l.Log().Bool("decision", true)
}
