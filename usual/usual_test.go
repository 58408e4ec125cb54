package usual

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUsualTime guards against estimates that mix routes or kinds of requests, and against times that are divided by another number than
// they are multiplied with.
func TestUsualTime(t *testing.T) {
	const ms = time.Millisecond
	notes := Key{Route: "notes", Service: "llm", Sized: true}
	stream := Sample{Size: 80, First: 300 * ms, Total: 1900 * ms}
	short := Sample{Size: 85, First: 350 * ms, Total: 350 * ms}
	tests := []struct {
		name        string
		samples     []Sample
		ask         Key
		size        int
		known       bool
		least, most time.Duration
	}{
		{name: "no samples", ask: notes, size: 80},
		{name: "another route", samples: []Sample{stream}, ask: Key{Route: "other", Service: "llm", Sized: true}},
		{name: "another service", samples: []Sample{stream}, ask: Key{Route: "notes", Service: "other", Sized: true}},
		{name: "another kind", samples: []Sample{stream}, ask: Key{Route: "notes", Service: "llm"}},
		{name: "the same size", samples: []Sample{stream, stream, stream, stream, stream, stream}, ask: notes, size: 80, known: true, least: 1900 * ms, most: 3 * time.Second},
		{name: "twice the size", samples: []Sample{stream, stream, stream, stream, stream, stream}, ask: notes, size: 160, known: true, least: 3500 * ms, most: 6 * time.Second},
		{name: "short answers", samples: []Sample{short, short, short, short, short, short}, ask: notes, size: 85, known: true, least: 350 * ms, most: 600 * ms},
		{name: "short and full answers", samples: []Sample{short, stream, short, stream, short, stream}, ask: notes, size: 80, known: true, least: 1900 * ms, most: 6 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			times := NewTimes()
			for _, s := range tt.samples {
				times.Record(notes, s)
			}
			d, ok := times.Of(tt.ask, tt.size)
			is.Equal(ok, tt.known)
			if d < tt.least || d > tt.most {
				t.Errorf("%v, want %v to %v", d, tt.least, tt.most)
			}
		})
	}
}

// TestTimesAreBounded guards against memory that grows with the routes that have been there.
func TestTimesAreBounded(t *testing.T) {
	is := is.New(t)
	times := NewTimes()
	for n := range 2*maxKeys + 1 {
		times.Record(Key{Route: fmt.Sprint(n)}, Sample{First: time.Second, Total: time.Second})
	}
	is.True(len(times.keys) <= maxKeys)
	_, ok := times.Of(Key{Route: fmt.Sprint(2 * maxKeys)}, 0)
	is.True(ok)
}
