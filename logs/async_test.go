package logs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/logs"
)

// blockedWriter is an output whose writes block until the gate is closed.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// TestAsyncWriterWithBlockedOutput guards against a log output that stops accepting data and then
// blocks the router or fills its memory. Lines must be accepted without waiting, memory must stay
// bounded, routine lines must be dropped first, and the number of dropped lines must be written.
func TestAsyncWriterWithBlockedOutput(t *testing.T) {
	is := is.New(t)
	const lines = 20_000
	out := &blockedWriter{gate: make(chan struct{})}
	q := logs.NewAsyncWriter(out, 64<<10)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go q.Run(ctx, done)
	root, err := logs.New(q, "info")
	is.NoErr(err)
	start := time.Now()
	for i := range lines {
		if i%1000 == 0 {
			root.Warn().Int("n", i).Msg("test: lost")
		}
		logs.Decision(root).Int("n", i).Msg("test: answered")
	}
	is.True(time.Since(start) < 5*time.Second)
	routine, important := q.Dropped()
	is.Equal(important, int64(0))
	is.True(routine > lines-2000)
	close(out.gate)
	cancel()
	<-done
	text := out.b.String()
	is.Equal(strings.Count(text, "test: lost"), 20)
	written := strings.Count(text, "test: answered")
	is.Equal(int64(written)+routine, int64(lines))
	reported := int64(0)
	for _, part := range strings.Split(text, `"part":"logs","routine":`)[1:] {
		var n int64
		_, err := fmt.Sscan(part[:strings.IndexByte(part, ',')], &n)
		is.NoErr(err)
		reported += n
	}
	is.Equal(reported, routine) // the reported numbers add up to the dropped lines
	for l := range strings.Lines(text) {
		is.True(strings.HasPrefix(l, "{") && strings.HasSuffix(l, "}\n")) // lines are not split
	}
}

// TestAsyncWriterKeepsOrder guards against reordering lines of different levels when nothing is
// dropped.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := logs.NewAsyncWriter(&out, 1<<20)
	for i := range 100 {
		level := []zerolog.Level{zerolog.NoLevel, zerolog.InfoLevel, zerolog.DebugLevel, zerolog.ErrorLevel}[i%4]
		_, err := fmt.Fprintf(levelWriter{q, level}, "%d\n", i)
		is.NoErr(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	q.Run(ctx, done)
	var want strings.Builder
	for i := range 100 {
		fmt.Fprintf(&want, "%d\n", i)
	}
	is.Equal(out.String(), want.String())
}

type levelWriter struct {
	w zerolog.LevelWriter
	l zerolog.Level
}

func (l levelWriter) Write(p []byte) (int, error) { return l.w.WriteLevel(l.l, p) }

// BenchmarkDecision measures the cost of a decision line.
func BenchmarkDecision(b *testing.B) {
	q := logs.NewAsyncWriter(io.Discard, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go q.Run(ctx, done)
	root, err := logs.New(q, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		logs.Decision(root).Str("id", "c1-237").Int("writes", 1).Str("route", "ask").Str("service", "llm").
			Str("customer", "calm").Int("prompt", 3000).Str("prefill", "llm-4").Str("decode", "llm-7").Msg("relay: answered in full")
	}
	cancel()
	<-done
}
