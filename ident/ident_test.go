package ident_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
)

func TestParseAttempt(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want ident.Attempt
		err  error
	}{
		{"plain", "a-1.7.42", ident.Attempt{Node: ident.Node{Instance: "a-1", Incarnation: 7}, Serial: 42}, nil},
		{"dots in the name", "a.b.7.42", ident.Attempt{Node: ident.Node{Instance: "a.b", Incarnation: 7}, Serial: 42}, nil},
		{"empty", "", ident.Attempt{}, ident.ErrInvalidAttempt},
		{"no name", ".7.42", ident.Attempt{}, ident.ErrInvalidAttempt},
		{"serial is not a number", "a.7.x", ident.Attempt{}, ident.ErrInvalidAttempt},
		{"incarnation is not a number", "a.x.7", ident.Attempt{}, ident.ErrInvalidAttempt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := ident.ParseAttempt(tt.in)
			is.Equal(got, tt.want)
			is.True(errors.Is(err, tt.err))
			if err == nil {
				is.Equal(got.String(), tt.in)
			}
		})
	}
}

// TestZeroOutcomeIsUnknown guards against a zero value that claims that a call ran or did not run.
func TestZeroOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	var o ident.Outcome
	is.Equal(o.String(), "unknown")
}
