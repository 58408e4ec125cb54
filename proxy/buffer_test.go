package proxy

import (
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/tick"
)

// TestBufferedResponsesShareLimit guards against endless responses that use up the memory of the
// instance, and against a full buffer that fails responses of usual size.
func TestBufferedResponsesShareLimit(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name string
		used int64 // bytes used by other responses
		size int
		err  error
	}{
		{name: "room", size: limit / 2},
		{name: "larger than the limit", size: 2 * limit, err: errTooLong},
		{name: "limit used by others", used: limit, size: 2 * maxControlBytes, err: errTooLong},
		{name: "usual size beside others", used: limit, size: maxControlBytes / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(Config{MaxBufferedBytes: limit, Clock: tick.NewFake(0)})
			h.bufferedBytes.Store(tt.used)
			br := &bufferedReader{r: strings.NewReader(strings.Repeat("x", tt.size)), h: h}
			if _, err := io.ReadAll(br); !errors.Is(err, tt.err) {
				t.Errorf("reading %d bytes with %d used by others: error %v, want %v", tt.size, tt.used, err, tt.err)
			}
			if got := h.bufferedBytes.Load() - tt.used; got != br.n {
				t.Errorf("%d bytes are counted, but %d were read", got, br.n)
			}
		})
	}
}
