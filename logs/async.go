package logs

import (
	"context"
	"io"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// lineBytes is what a line takes in a Queue beside its text.
const lineBytes = 64

// batchBytes bounds one write to the output.
const batchBytes = 64 << 10

// AsyncWriter is a writer of log lines that never waits for its output. Lines wait in
// memory, within a bound; beyond it the oldest routine line is dropped, and a
// line of level info or above only once no routine line is left. The next line
// tells how many were dropped. It may be used concurrently.
type AsyncWriter struct {
	out  io.Writer
	most int // bytes
	wake chan struct{}

	mu      sync.Mutex // guards the fields below
	serial  uint64
	waiting [kinds]fifo
	bytes   int
	dropped [kinds]int64 // since the last line that told it
	total   [kinds]int64
}

// kind is how much a line matters.
type kind int

const (
	routine   kind = iota // decision lines, debug
	important             // starts, stops, losses, failures
	kinds
)

// line is a line that waits.
type line struct {
	serial uint64
	text   []byte
}

// fifo holds lines in the order in which they came.
type fifo struct {
	lines []line
	head  int
}

// NewAsyncWriter returns a Queue in which lines may take so many bytes. Its lines
// come out while Run runs.
func NewAsyncWriter(out io.Writer, most int) *AsyncWriter {
	return &AsyncWriter{out: out, most: most, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer, for lines without a level.
func (q *AsyncWriter) Write(p []byte) (int, error) { return q.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter.
func (q *AsyncWriter) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	k := routine
	if l >= zerolog.InfoLevel && l < zerolog.NoLevel {
		k = important
	}
	q.put(k, append([]byte(nil), p...))
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (q *AsyncWriter) put(k kind, text []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serial++
	q.waiting[k].push(line{q.serial, text})
	q.bytes += len(text) + lineBytes
	for old := routine; q.bytes > q.most && old < kinds; {
		l, ok := q.waiting[old].pop()
		if !ok {
			old++
			continue
		}
		q.bytes -= len(l.text) + lineBytes
		q.dropped[old]++
		q.total[old]++
	}
}

// Dropped returns how many routine and how many important lines were dropped.
func (q *AsyncWriter) Dropped() (routineLines, importantLines int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total[routine], q.total[important]
}

// Run writes the lines until ctx ends, and then those that wait. It closes done
// at its end. An output that has stopped taking lines holds it for good, and
// nothing else.
func (q *AsyncWriter) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			q.flush()
			return
		case <-q.wake:
			q.flush()
		}
	}
}

// flush writes all lines that wait.
func (q *AsyncWriter) flush() {
	for {
		b := q.take()
		if len(b) == 0 {
			return
		}
		// Nobody is left to be told of an output that fails.
		_, _ = q.out.Write(b)
	}
}

// take returns the next lines, in the order in which they came.
func (q *AsyncWriter) take() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	var b []byte
	if q.dropped != [kinds]int64{} {
		b = append(b, `{"level":"warn","part":"logs","routine":`...)
		b = strconv.AppendInt(b, q.dropped[routine], 10)
		b = append(b, `,"important":`...)
		b = strconv.AppendInt(b, q.dropped[important], 10)
		b = append(b, `,"message":"logs: lines were dropped"}`+"\n"...)
		q.dropped = [kinds]int64{}
	}
	for len(b) < batchBytes {
		l, ok := q.next()
		if !ok {
			break
		}
		b = append(b, l.text...)
		q.bytes -= len(l.text) + lineBytes
	}
	return b
}

// next removes the line that came first.
func (q *AsyncWriter) next() (line, bool) {
	a, okA := q.waiting[routine].first()
	b, okB := q.waiting[important].first()
	if okA && (!okB || a.serial < b.serial) {
		return q.waiting[routine].pop()
	}
	return q.waiting[important].pop()
}

func (f *fifo) push(l line) { f.lines = append(f.lines, l) }

func (f *fifo) first() (line, bool) {
	if f.head == len(f.lines) {
		return line{}, false
	}
	return f.lines[f.head], true
}

func (f *fifo) pop() (line, bool) {
	l, ok := f.first()
	if !ok {
		return l, false
	}
	f.lines[f.head] = line{}
	f.head++
	if f.head == len(f.lines) || f.head > 1024 {
		f.lines = append(f.lines[:0], f.lines[f.head:]...)
		f.head = 0
	}
	return l, true
}
