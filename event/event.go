// Package event reads server-sent events from a stream. It returns an event only after reading the
// event to its end.
//
// # Usage
//
//	s := event.NewScanner(body, 1<<20, budget.Account())
//	defer s.Close()
//	for s.Scan() {
//		w.Write(s.Bytes()) // s.ID() is the ID of the event
//	}
//	if err := s.Err(); err != nil {
//		// the stream broke
//	}
//
// Lines end with LF or CRLF, and an empty line ends an event. Each line of an event is a comment or a
// field, whose name consists of letters, digits, hyphens and underscores. At any other line, such as
// the status line of a response or the text of an error, the Scanner ends with an error.
//
// A Scanner must not be used concurrently.
package event

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/memory"
)

// NoID is the ID of an event that has none.
const NoID int64 = -1

// ErrTooLong reports an event over the maximum size of the Scanner.
var ErrTooLong = errors.New("event is too long")

// errPartial reports a stream that ended before the end of an event.
var errPartial = errors.New("stream ended before the end of an event")

// errNotEvent reports a line that is neither a field nor a comment.
var errNotEvent = errors.New("stream contains a line that is no part of an event")

// Scanner reads events one by one, as bufio.Scanner reads lines.
type Scanner struct {
	r      *bufio.Reader
	max    int
	buf    []byte
	memory *memory.Account // of buf
	id     int64
	fields int // number of fields of the event
	err    error
}

// NewScanner returns a Scanner that reads from r and accepts events of at most max
// bytes, for which there is room in the account.
func NewScanner(r io.Reader, max int, a *memory.Account) *Scanner {
	return &Scanner{r: bufio.NewReader(r), max: max, memory: a}
}

// Close frees the memory of the Scanner.
func (s *Scanner) Close() { s.memory.Free() }

// Scan reads the next whole event. It returns false at the end of the stream
// and after an error, which Err returns.
func (s *Scanner) Scan() bool {
	s.buf = s.buf[:0]
	s.id, s.fields = NoID, 0
	start := 0 // index of the current line in buf
	for s.err == nil {
		part, err := s.r.ReadSlice('\n')
		if len(s.buf)+len(part) > s.max {
			s.err = ErrTooLong
			return false
		}
		if s.buf, s.err = s.memory.Extend(s.buf, len(part)); s.err != nil {
			return false
		}
		s.buf = append(s.buf, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			s.fail(err)
			return false
		}
		line := bytes.TrimRight(s.buf[start:], "\r\n")
		if len(line) == 0 {
			return true
		}
		s.field(line)
		start = len(s.buf)
	}
	return false
}

// fail records a read error. An EOF inside an event becomes errPartial.
func (s *Scanner) fail(err error) {
	if errors.Is(err, io.EOF) && len(s.buf) > 0 {
		err = errPartial
	}
	s.err = err
}

// field reads a line that is not empty. It sets the event ID if the line is an id field.
func (s *Scanner) field(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case ok && len(name) == 0:
		return // a comment
	case ok && !isToken(name) || !ok && !isField(name):
		s.err = errNotEvent
		return
	}
	s.fields++
	if string(name) != "id" {
		return
	}
	s.id = NoID
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
		s.id = n
	}
}

// isField reports whether a line without a colon is a field without a value.
func isField(line []byte) bool {
	switch string(line) {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}

// isToken reports whether b contains only letters, digits, hyphens and underscores.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// Bytes returns the unchanged bytes of the event. They are valid until the next call of Scan.
func (s *Scanner) Bytes() []byte { return s.buf }

// ID returns the ID of the event. It returns NoID if the event has no ID, or one that is not a
// non-negative integer.
func (s *Scanner) ID() int64 { return s.id }

// Comment reports whether the event has no field: it consists of comments, or of an empty line alone.
func (s *Scanner) Comment() bool { return s.fields == 0 }

// Partial reports whether Scan has returned false in the middle of an event.
func (s *Scanner) Partial() bool { return s.err != nil && len(s.buf) > 0 }

// NextBuffered reports whether the whole next event is in the buffer. A partial event does not
// count, because the rest may arrive late or never.
func (s *Scanner) NextBuffered() bool {
	b, err := s.r.Peek(s.r.Buffered())
	if err != nil {
		return false
	}
	return endsEvent(b)
}

// endsEvent reports whether b contains an empty line. b must start at the beginning of a line.
func endsEvent(b []byte) bool {
	return bytes.HasPrefix(b, []byte("\n")) || bytes.HasPrefix(b, []byte("\r\n")) ||
		bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// Err returns the error that ended the stream, or nil at its regular end.
func (s *Scanner) Err() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}
