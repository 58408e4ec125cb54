package delay

import (
	"testing"
	"time"
)

func TestUsual(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		took        []time.Duration
		least, most time.Duration // of what is usual after them
	}{
		{name: "nothing known"},
		{name: "one answer", took: []time.Duration{60 * ms}, least: 120 * ms, most: 240 * ms},
		{name: "steady", took: []time.Duration{60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms}, least: 60 * ms, most: 120 * ms},
		{name: "slower", took: []time.Duration{60 * ms, 300 * ms, 320 * ms, 300 * ms, 310 * ms}, least: 320 * ms, most: 900 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewEstimates()
			for _, d := range tt.took {
				l.Add("s", d)
			}
			if got := l.UpperBound("s", 4); got < tt.least || got > tt.most {
				t.Errorf("%v: usual %v, want %v to %v", tt.took, got, tt.least, tt.most)
			}
		})
	}
}
