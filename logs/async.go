package logs

import (
	"context"
	"io"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// lineOverheadBytes is the memory that a waiting line takes in addition to its text.
const lineOverheadBytes = 64

// batchBytes is the size at which a batch of lines is written to the output.
const batchBytes = 64 << 10

// AsyncWriter is a writer of log lines that never blocks its callers. Lines wait in a memory buffer
// of bounded size until Run writes them. If the buffer is full, the oldest routine lines are
// dropped; lines of level info or above are dropped only once no routine line is left. The next
// line in the output reports how many were dropped. An AsyncWriter may be used concurrently.
type AsyncWriter struct {
	out      io.Writer
	maxBytes int // limit for the memory of the waiting lines
	wake     chan struct{}

	mu      sync.Mutex // guards the fields below
	serial  uint64
	waiting [priorities]fifo
	bytes   int
	dropped [priorities]int64 // lines dropped since the last report in the output
	total   [priorities]int64 // lines dropped since the start
}

// priority decides which lines are dropped first.
type priority int

const (
	routine   priority = iota // decision lines, debug lines
	important                 // starts, stops, losses, failures (info and above)
	priorities
)

// line is a waiting line.
type line struct {
	serial uint64
	text   []byte
}

// fifo is a queue of lines in the order of their arrival.
type fifo struct {
	lines []line
	head  int
}

// NewAsyncWriter returns an AsyncWriter whose waiting lines use at most maxBytes of memory. The
// lines are written to out while Run is running.
func NewAsyncWriter(out io.Writer, maxBytes int) *AsyncWriter {
	return &AsyncWriter{out: out, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer, for lines without a level.
func (q *AsyncWriter) Write(p []byte) (int, error) { return q.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter.
func (q *AsyncWriter) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	k := routine
	if l >= zerolog.InfoLevel && l < zerolog.NoLevel {
		k = important
	}
	q.enqueue(k, append([]byte(nil), p...))
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (q *AsyncWriter) enqueue(p priority, text []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serial++
	q.waiting[p].push(line{q.serial, text})
	q.bytes += len(text) + lineOverheadBytes
	for old := routine; q.bytes > q.maxBytes && old < priorities; {
		l, ok := q.waiting[old].pop()
		if !ok {
			old++
			continue
		}
		q.bytes -= len(l.text) + lineOverheadBytes
		q.dropped[old]++
		q.total[old]++
	}
}

// Dropped returns how many routine and how many important lines have been dropped since the start.
func (q *AsyncWriter) Dropped() (routineLines, importantLines int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total[routine], q.total[important]
}

// Run writes the lines until ctx ends, then writes those that are still waiting, and closes done
// when it returns. An output that stops accepting data blocks Run forever, but not the callers of
// Write.
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

// flush writes all waiting lines.
func (q *AsyncWriter) flush() {
	for {
		b := q.takeBatch()
		if len(b) == 0 {
			return
		}
		// The error is ignored: there is no other place to report a failing log output.
		_, _ = q.out.Write(b)
	}
}

// takeBatch removes and returns the next lines in the order of their arrival, preceded by a report
// of dropped lines if there were any.
func (q *AsyncWriter) takeBatch() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	var b []byte
	if q.dropped != [priorities]int64{} {
		b = append(b, `{"level":"warn","part":"logs","routine":`...)
		b = strconv.AppendInt(b, q.dropped[routine], 10)
		b = append(b, `,"important":`...)
		b = strconv.AppendInt(b, q.dropped[important], 10)
		b = append(b, `,"message":"logs: lines were dropped"}`+"\n"...)
		q.dropped = [priorities]int64{}
	}
	for len(b) < batchBytes {
		l, ok := q.next()
		if !ok {
			break
		}
		b = append(b, l.text...)
		q.bytes -= len(l.text) + lineOverheadBytes
	}
	return b
}

// next removes and returns the line that arrived first.
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
