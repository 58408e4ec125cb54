package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/tick"
)

func TestAnswersAreBoundedTogether(t *testing.T) {
	const room = 1 << 20
	tests := []struct {
		name  string
		taken int64 // by others
		size  int
		err   error
	}{
		{name: "room", size: room / 2},
		{name: "too large for all", size: 2 * room, err: errTooLong},
		{name: "others have taken it", taken: room, size: 2 * controlBytes, err: errTooLong},
		{name: "common beside others", taken: room, size: controlBytes / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(Config{MaxBufferedBytes: room, Clock: tick.NewFake(0)})
			h.answers.Store(tt.taken)
			k := &kept{r: strings.NewReader(strings.Repeat("x", tt.size)), h: h}
			if _, err := io.ReadAll(k); !errors.Is(err, tt.err) {
				t.Errorf("%d bytes beside %d: error %v, want %v", tt.size, tt.taken, err, tt.err)
			}
			if got := h.answers.Load() - tt.taken; got != k.n {
				t.Errorf("%d bytes count, %d were read", got, k.n)
			}
		})
	}
}
