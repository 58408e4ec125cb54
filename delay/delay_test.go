package delay

import (
	"testing"
	"time"
)

func TestUpperBound(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name         string
		samples      []time.Duration
		lower, upper time.Duration // range of the upper bound after the samples
	}{
		{name: "no samples"},
		{name: "one sample", samples: []time.Duration{60 * ms}, lower: 120 * ms, upper: 240 * ms},
		{name: "steady", samples: []time.Duration{60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms, 60 * ms}, lower: 60 * ms, upper: 120 * ms},
		{name: "slower", samples: []time.Duration{60 * ms, 300 * ms, 320 * ms, 300 * ms, 310 * ms}, lower: 320 * ms, upper: 900 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEstimates()
			for _, d := range tt.samples {
				e.Add("s", d)
			}
			if got := e.UpperBound("s", 4); got < tt.lower || got > tt.upper {
				t.Errorf("%v: upper bound %v, want %v to %v", tt.samples, got, tt.lower, tt.upper)
			}
		})
	}
}
