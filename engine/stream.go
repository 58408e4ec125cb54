package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
	fastjson "github.com/goccy/go-json"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
)

// maxEventBytes is the maximum length of a line and of an event's data in an event stream.
const maxEventBytes = 64 << 10

// Stream opens the token stream of an attempt, beginning at the token offset.
func (c *Client) Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (flow.Stream, error) {
	q := url.Values{"attempt": {a.String()}, "offset": {strconv.FormatInt(offset, 10)}}
	resp, err := c.open(ctx, "engine: stream", s, PathStream+"?"+q.Encode())
	if err != nil {
		return nil, err
	}
	return &stream{server: s, events: newEventReader(resp)}, nil
}

// Events opens the stream of an engine's cache events whose sequence numbers are greater than after.
func (c *Client) Events(ctx context.Context, s ident.Server, after uint64) (*CacheEventStream, error) {
	resp, err := c.open(ctx, "engine: events", s, PathEvents+"?after="+strconv.FormatUint(after, 10))
	if err != nil {
		return nil, err
	}
	return &CacheEventStream{server: s, events: newEventReader(resp)}, nil
}

func (c *Client) open(ctx context.Context, step string, s ident.Server, path string) (*response, error) {
	return c.send(ctx, c.fresh, call{step: step, server: s, stallTimeout: c.cfg.StallTimeout, method: http.MethodGet, path: path}, nil)
}

type stream struct {
	server ident.Server
	events *eventReader
}

func (s *stream) Next() (flow.Event, error) {
	ev, err := s.next()
	if err != nil {
		return flow.Event{}, fail.New("engine: stream", string(s.server), ident.Unknown, err)
	}
	return ev, nil
}

func (s *stream) next() (flow.Event, error) {
	name, data, err := s.events.next()
	if err != nil {
		return flow.Event{}, err
	}
	switch name {
	case "end":
		return parseEnd(data)
	case "error":
		var r Refusal
		if err := json.Unmarshal(data, &r); err != nil {
			return flow.Event{}, errors.Wrap(err, "decode error event")
		}
		return flow.Event{}, cause(r)
	case "", "message":
		return parseToken(data)
	default:
		return flow.Event{}, errors.Errorf("unknown event %q", name)
	}
}

// Errors for events that lack a field, or have a negative number in it.
var (
	errNoOffset = errors.New("token has no offset")
	errNoTotal  = errors.New("end has no total")
)

// Close closes the connection.
func (s *stream) Close() { s.events.resp.close() }

func parseToken(data []byte) (flow.Event, error) {
	t := TokenEvent{Offset: -1}
	if err := fastjson.Unmarshal(data, &t); err != nil {
		return flow.Event{}, errors.Wrap(err, "decode token")
	}
	a, err := ident.ParseAttempt(t.Attempt)
	if err != nil {
		return flow.Event{}, err
	}
	if t.Offset < 0 {
		return flow.Event{}, errNoOffset
	}
	return flow.Event{Attempt: a, Offset: t.Offset, Text: t.Text}, nil
}

func parseEnd(data []byte) (flow.Event, error) {
	e := EndEvent{Total: -1}
	if err := json.Unmarshal(data, &e); err != nil {
		return flow.Event{}, errors.Wrap(err, "decode end")
	}
	a, err := ident.ParseAttempt(e.Attempt)
	if err != nil {
		return flow.Event{}, err
	}
	if e.Total < 0 {
		return flow.Event{}, errNoTotal
	}
	return flow.Event{Attempt: a, End: true, Total: e.Total, Reason: e.Reason}, nil
}

// CacheEventStream is an open stream of cache events. It must be used by one goroutine only.
type CacheEventStream struct {
	server ident.Server
	events *eventReader
}

// Next returns the next cache event. It fails if the stream has stalled, the connection has failed or
// the context has ended.
func (e *CacheEventStream) Next() (CacheEvent, error) {
	_, data, err := e.events.next()
	if err != nil {
		return CacheEvent{}, fail.New("engine: events", string(e.server), ident.Unknown, err)
	}
	var ev CacheEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return CacheEvent{}, fail.New("engine: events", string(e.server), ident.Unknown, err)
	}
	return ev, nil
}

// Close closes the connection.
func (e *CacheEventStream) Close() { e.events.resp.close() }

// eventReader reads server-sent events.
type eventReader struct {
	resp *response
	sc   *bufio.Scanner
}

func newEventReader(resp *response) *eventReader {
	sc := bufio.NewScanner(resp.body)
	sc.Buffer(nil, maxEventBytes)
	return &eventReader{resp: resp, sc: sc}
}

// next returns the name and the data of the next event. Comments are skipped, but the watchdog counts
// their bytes as progress. An incomplete event at the end of the connection is dropped.
func (e *eventReader) next() (name string, data []byte, err error) {
	for e.sc.Scan() {
		line := e.sc.Bytes()
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && data != nil:
			return name, data, nil
		case len(line) == 0:
			name = ""
		case string(field) == "event":
			name = string(value)
		case string(field) == "data":
			if len(data)+len(value) > maxEventBytes {
				return "", nil, errTooLarge
			}
			data = append(data, value...)
		}
	}
	err = e.sc.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return "", nil, errTooLarge
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return "", nil, e.resp.reason(err)
}
