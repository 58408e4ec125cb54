package event_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/memory"
)

// TestScanner checks events and IDs for streams that end regularly and for broken ones.
func TestScanner(t *testing.T) {
	tests := []struct {
		name    string
		in      string
		want    []string
		ids     []int64
		wantErr bool
	}{
		{name: "empty"},
		{name: "two", in: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", want: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, ids: []int64{1, 2}},
		{name: "CRLF", in: "id:7\r\ndata\r\n\r\n", want: []string{"id:7\r\ndata\r\n\r\n"}, ids: []int64{7}},
		{name: "no id", in: "data: a\n\n", want: []string{"data: a\n\n"}, ids: []int64{event.NoID}},
		{name: "other lines first", in: "weights: 3\nid: 4\n\n", want: []string{"weights: 3\nid: 4\n\n"}, ids: []int64{4}},
		{name: "ends inside an event", in: "id: 1\n\nid: 2\nda", want: []string{"id: 1\n\n"}, ids: []int64{1}, wantErr: true},
		{name: "ends before the empty line", in: "id: 1\n", wantErr: true},
		{name: "last ID counts", in: "id: 1\nid: 2\n\n", want: []string{"id: 1\nid: 2\n\n"}, ids: []int64{2}},
		{name: "last ID is no number", in: "id: 1\nid: x\n\n", want: []string{"id: 1\nid: x\n\n"}, ids: []int64{event.NoID}},
		{name: "field without a value", in: "id: 1\ndata\n\n", want: []string{"id: 1\ndata\n\n"}, ids: []int64{1}},
		{name: "status line", in: "id: 1\n\nHTTP/1.1 200 OK\r\nid: 2\r\n\r\n", want: []string{"id: 1\n\n"}, ids: []int64{1}, wantErr: true},
		{name: "status line inside an event", in: "id: 1\nHTTP/1.1 200 OK\n\n", wantErr: true},
		{name: "JSON", in: "{\"id\": 1}\n\n", wantErr: true},
		{name: "word", in: "overloaded\n\n", wantErr: true},
		{name: "sentence with a colon", in: "request failed: no server\n\n", wantErr: true},
		{name: "no field name", in: "id: 1\n  data: x\n\n", wantErr: true},
		{name: "too long", in: "data: " + strings.Repeat("x", 200) + "\n\n", wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := event.NewScanner(iotest.OneByteReader(strings.NewReader(tt.in)), 100, (*memory.Budget)(nil).Account())
			var got []string
			var ids []int64
			for s.Scan() {
				got = append(got, string(s.Bytes()))
				ids = append(ids, s.ID())
			}
			is.Equal(got, tt.want)
			is.Equal(ids, tt.ids)
			is.Equal(s.Err() != nil, tt.wantErr)
		})
	}
}

// TestLongLines guards against taking the rest of a line that exceeds the read buffer for a line of its own.
func TestLongLines(t *testing.T) {
	const bufferBytes = 4096
	tests := []struct {
		name string
		line string
	}{
		{"line feed follows a full buffer", "data: " + strings.Repeat("x", bufferBytes-len("data: "))},
		{"full buffer is followed by id:", "data: " + strings.Repeat("x", bufferBytes-len("data: ")) + "id: 9"},
		{"full buffer is followed by other text", "data: " + strings.Repeat("x", bufferBytes) + " y"},
		{"several buffers", "data: " + strings.Repeat("x", 3*bufferBytes-len("data: "))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			want := "id: 1\n" + tt.line + "\n\n"
			s := event.NewScanner(strings.NewReader(want), 1<<20, (*memory.Budget)(nil).Account())
			is.True(s.Scan())
			is.Equal(string(s.Bytes()), want) // the whole event
			is.Equal(s.ID(), int64(1))
			is.True(!s.Scan())
			is.NoErr(s.Err())
		})
	}
}

// TestComment checks which blocks of lines count as comments.
func TestComment(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want bool
	}{
		{"comment", ": keep-alive\n\n", true},
		{"two comments", ":\r\n: x\r\n\r\n", true},
		{"empty line", "\n", true},
		{"comment and data", ": x\ndata: y\n\n", false},
		{"field that is not known", "x: y\n\n", false},
		{"comment in the event before", ": x\n\nid: 1\n\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := event.NewScanner(strings.NewReader(tt.in), 1000, (*memory.Budget)(nil).Account())
			got := false
			for s.Scan() {
				got = s.Comment()
			}
			is.NoErr(s.Err())
			is.Equal(got, tt.want)
		})
	}
}

// FuzzScanner checks that the returned events are a prefix of the input, and all of it if the
// stream ended without an error.
func FuzzScanner(f *testing.F) {
	for _, s := range []string{
		"", "id: 1\n\n", "id: 1\r\n\r\nid: 2\n\n", "x\n\ny", "\n\n\n", "id: -1\n\n", ": a\n\nid: 1\n\n", "id: 1\nid: x\n\n",
		"id: 1\n\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}", "id: 1\n\n{\"error\": 1}\n\n", "data: a\n\n",
		"id: 1\ndata: " + strings.Repeat("x", 4090) + "\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		s := event.NewScanner(bytes.NewReader(in), 1<<13, (*memory.Budget)(nil).Account())
		var out []byte
		for s.Scan() {
			if !bytes.HasSuffix(s.Bytes(), []byte("\n")) {
				t.Fatalf("event %q is not whole", s.Bytes())
			}
			if s.ID() != event.NoID && s.Comment() {
				t.Fatalf("event %q has an ID and counts as a comment", s.Bytes())
			}
			for line := range bytes.Lines(s.Bytes()) {
				if bytes.HasPrefix(line, []byte("HTTP/")) || bytes.HasPrefix(line, []byte("{")) {
					t.Fatalf("event %q has a line that is no field", s.Bytes())
				}
			}
			out = append(out, s.Bytes()...)
		}
		if !bytes.HasPrefix(in, out) {
			t.Fatalf("events %q are not a prefix of %q", out, in)
		}
		if s.Err() == nil && !bytes.Equal(in, out) {
			t.Fatalf("stream %q ended without an error after %q", in, out)
		}
	})
}

// TestNextBuffered checks, after the first event, whether the next one counts as buffered. A
// partial event that counts would delay the first one until the rest arrives.
func TestNextBuffered(t *testing.T) {
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"nothing", "id: 1\n\n", false},
		{"part of a line", "id: 1\n\nid: ", false},
		{"part of an event", "id: 1\n\nid: 2\ndata: x\n", false},
		{"whole", "id: 1\n\nid: 2\ndata: x\n\n", true},
		{"whole, with CRLF", "id: 1\r\n\r\nid: 2\r\n\r\n", true},
		{"an empty event", "id: 1\n\n\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := event.NewScanner(strings.NewReader(tt.text), 1000, (*memory.Budget)(nil).Account())
			if !s.Scan() {
				t.Fatalf("%q: Scan returned no event: %v", tt.text, s.Err())
			}
			if got := s.NextBuffered(); got != tt.want {
				t.Errorf("%q: NextBuffered is %v, want %v", tt.text, got, tt.want)
			}
		})
	}
}
