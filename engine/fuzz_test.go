package engine

import (
	"context"
	"strings"
	"testing"

	"wasabidock.dev/dock/tick"
)

// FuzzEventReader reads arbitrary bytes as an event stream. The reader must reach the end, must return
// events of bounded size, and must not return an incomplete token.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 0\ndata: {\"attempt\":\"a.1.1\",\"offset\":0,\"text\":\"t\"}\n\n")
	f.Add(": alive\n\nevent: end\ndata: {\"attempt\":\"a.1.1\",\"total\":0,\"reason\":\"stop\"}\n\n")
	f.Add("data: {\ndata: }\r\n\r\n")
	f.Add("event: error\ndata: {\"code\":\"attempt\"}\n\n")
	f.Add("data\n\n:\n\nevent:\n")
	f.Fuzz(func(t *testing.T, body string) {
		w := watch(context.Background(), tick.NewFake(0), 1, 0)
		defer w.stop()
		s := &stream{events: newEventReader(&response{watchdog: w, body: strings.NewReader(body)})}
		lines := strings.Count(body, "\n")
		for n := 0; ; n++ {
			ev, err := s.next()
			if err != nil {
				return
			}
			if n > lines {
				t.Fatalf("got %d events from %d lines", n+1, lines)
			}
			if len(ev.Text) > maxEventBytes {
				t.Fatalf("got a token of %d bytes, longer than maxEventBytes", len(ev.Text))
			}
		}
	})
}

// BenchmarkParseToken parses one token event.
func BenchmarkParseToken(b *testing.B) {
	data := []byte(`{"attempt":"sierra-a-1.1234567890123456789.4711","offset":1234,"text":"letter ","token":1}`)
	for b.Loop() {
		if _, err := parseToken(data); err != nil {
			b.Fatal(err)
		}
	}
}
