// Package event reads streams of events whole: no part of an event leaves it
// before the end of the event has come.
//
// # Usage
//
//	s := event.NewScanner(body, 1<<20)
//	for s.Scan() {
//		w.Write(s.Bytes()) // s.ID() is the event's id
//	}
//	if err := s.Err(); err != nil {
//		// the stream broke
//	}
//
// Lines end with LF or CRLF, and an empty line ends an event.
package event

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// NoID is the ID of an event that bears none.
const NoID int64 = -1

// ErrTooLong reports an event over the size that was set.
var ErrTooLong = errors.New("event is too long")

// errPartial reports a stream that ended within an event.
var errPartial = errors.New("stream ended within an event")

// Scanner reads events one by one.
type Scanner struct {
	r   *bufio.Reader
	max int
	buf []byte
	id  int64
	err error
}

// NewScanner returns a Scanner that reads r and takes events of at most max
// bytes.
func NewScanner(r io.Reader, max int) *Scanner {
	return &Scanner{r: bufio.NewReader(r), max: max}
}

// Scan reads the next whole event. It returns false at the end of the stream
// and at an error.
func (s *Scanner) Scan() bool {
	s.buf = s.buf[:0]
	s.id = NoID
	for s.err == nil {
		line, err := s.r.ReadSlice('\n')
		s.buf = append(s.buf, line...)
		if len(s.buf) > s.max {
			s.err = ErrTooLong
			return false
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			s.fail(err)
			return false
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return true
		}
		s.field(text)
	}
	return false
}

func (s *Scanner) fail(err error) {
	if errors.Is(err, io.EOF) && len(s.buf) > 0 {
		err = errPartial
	}
	s.err = err
}

func (s *Scanner) field(line []byte) {
	v, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil && n >= 0 {
		s.id = n
	}
}

// Bytes returns the event as it came, valid until the next Scan.
func (s *Scanner) Bytes() []byte { return s.buf }

// ID returns the event's id, NoID if it has none.
func (s *Scanner) ID() int64 { return s.id }

// NextBuffered tells whether the next event has come whole already. Part of one does
// not count: the rest may take long, or never come.
func (s *Scanner) NextBuffered() bool {
	b, err := s.r.Peek(s.r.Buffered())
	if err != nil {
		return false
	}
	return endsEvent(b)
}

// endsEvent tells whether there is an empty line in b, which begins at a line.
func endsEvent(b []byte) bool {
	return bytes.HasPrefix(b, []byte("\n")) || bytes.HasPrefix(b, []byte("\r\n")) ||
		bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// Err returns the error that ended the stream, nil at its regular end.
func (s *Scanner) Err() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}
