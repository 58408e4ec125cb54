package tick_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

func TestAfterEnd(t *testing.T) {
	tests := []struct {
		name  string
		ended bool
	}{
		{"stopped before the end", false},
		{"stopped during the call", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			begun, called := make(chan struct{}), false
			stop := tick.AfterEnd(ctx, func() {
				close(begun)
				called = true
			})
			if tt.ended {
				cancel()
				<-begun
			}
			stop()
			cancel()
			is.Equal(called, tt.ended)
		})
	}
}
