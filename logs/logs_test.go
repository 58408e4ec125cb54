package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/logs"
)

// TestNewAcceptsFourLevels guards against levels that would suppress decision lines.
func TestNewAcceptsFourLevels(t *testing.T) {
	tests := []struct {
		level string
		lines int // number of lines written out of one each at debug, info, warn and error
		ok    bool
	}{
		{"debug", 4, true},
		{"info", 3, true},
		{"warn", 2, true},
		{"error", 1, true},
		{"", 0, false},
		{"loud", 0, false},
		{"disabled", 0, false},
		{"fatal", 0, false},
		{"7", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.level, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			root, err := logs.New(&b, tt.level)
			is.Equal(err == nil, tt.ok)
			if !tt.ok {
				return
			}
			l := logs.Component(root, "limit")
			l.Debug().Msg("limit: a")
			l.Info().Msg("limit: b")
			l.Warn().Msg("limit: c")
			l.Error().Msg("limit: d")
			is.Equal(strings.Count(b.String(), `"part":"limit"`), tt.lines)
			b.Reset()
			logs.Decision(l).Msg("limit: e")
			is.Equal(strings.Count(b.String(), `"decision":true`), 1) // written at every level
		})
	}
}
