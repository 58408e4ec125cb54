package fail_test

import (
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

func TestOutcome(t *testing.T) {
	inner := fail.New("engine: dial", "p1", ident.NotRun, io.EOF)
	tests := []struct {
		name string
		err  error
		want ident.Outcome
	}{
		{"nil is done", nil, ident.Done},
		{"plain error is unknown", io.EOF, ident.Unknown},
		{"carried", inner, ident.NotRun},
		{"carried by a wrapped Error", errors.Wrap(inner, "route"), ident.NotRun},
		{"refusal without an Error", fail.Refuse(fail.CodeRateLimited, 0, "empty"), ident.NotRun},
		{"the outermost Error decides", fail.New("route", "", ident.Unknown, inner), ident.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fail.Outcome(tt.err), tt.want)
		})
	}
}

func TestErrorNamesStepAndPeer(t *testing.T) {
	is := is.New(t)
	err := fail.New("engine: dial", "p1", ident.NotRun, io.EOF)
	is.Equal(err.Error(), "engine: dial: p1: EOF (not run)")
	is.True(errors.Is(err, io.EOF))
}
