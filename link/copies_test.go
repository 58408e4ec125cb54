package link_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

// refusal returns an error response, without an ID if id is empty.
func refusal(id string) string {
	if id != "" {
		id = "Attempt: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 4\r\n\r\nfull"
}

// noID returns a successful response without an ID.
func noID(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestCopiesOfEarlierResponses guards against a copy of the response to an earlier request that is taken as the response to a later one.
func TestCopiesOfEarlierResponses(t *testing.T) {
	type call struct {
		id       string
		distinct bool
		sends    string // what the server sends when it has read the request
		want     string // body, "!" for an error
	}
	tests := []struct {
		name      string
		calls     []call
		dialCount int64
	}{
		{
			name: "of a run, when the next run is due",
			calls: []call{
				{id: "a", sends: response("a", "", "1"), want: "1"},
				{id: "b", sends: response("a", "", "1") + response("b", "", "2"), want: "2"},
				{id: "c", sends: response("c", "", "3"), want: "3"},
			},
			dialCount: 2, // a server that is out of step loses its connection
		},
		{
			name: "of a refusal with the ID of the next write",
			calls: []call{
				{id: "a", sends: refusal("a"), want: "full"},
				{id: "a", sends: response("a", "", "1"), want: "1"},
			},
			dialCount: 2,
		},
		{
			name: "of a prefill with the ID of the run",
			calls: []call{
				{id: "a", distinct: true, sends: response("a", "", "handle"), want: "handle"},
				{id: "b", sends: response("b", "", "2"), want: "2"},
				{id: "a", sends: response("a", "", "1"), want: "1"},
			},
			dialCount: 2,
		},
		{
			name: "of a refusal without an ID",
			calls: []call{
				{id: "a", sends: response("a", "", "1"), want: "1"},
				{id: "b", sends: refusal("") + response("b", "", "2"), want: "!"},
			},
			dialCount: 1,
		},
		{
			name: "refusal without an ID, and nothing written before",
			calls: []call{
				{id: "a", sends: refusal(""), want: "full"},
				{id: "b", sends: response("b", "", "2"), want: "2"},
			},
			dialCount: 2,
		},
		{
			name: "of a prefill, when the next prefill is due",
			calls: []call{
				{id: "a", distinct: true, sends: response("a", "", "h1"), want: "h1"},
				{id: "b", distinct: true, sends: response("a", "", "h1") + response("b", "", "h2"), want: "h2"},
			},
			dialCount: 1,
		},
		{
			name: "of a prefill without an ID, when the next prefill is due",
			calls: []call{
				{id: "a", distinct: true, sends: noID("h1"), want: "h1"},
				{id: "b", distinct: true, sends: noID("h1") + noID("h2"), want: "h2"},
			},
			dialCount: 1,
		},
		{
			name: "of a prefill, without the ID that the first one had",
			calls: []call{
				{id: "a", distinct: true, sends: response("a", "", "h1"), want: "h1"},
				{id: "b", distinct: true, sends: noID("h1") + response("b", "", "h2"), want: "h2"},
			},
			dialCount: 1,
		},
		{
			name: "of a reservation, when the next reservation is due",
			calls: []call{
				{distinct: true, sends: noID("r1"), want: "r1"},
				{id: "a", sends: response("a", "", "1"), want: "1"},
				{distinct: true, sends: noID("r1") + noID("r2"), want: "r2"},
			},
			dialCount: 1,
		},
		{
			name: "of a run, when a reservation is due",
			calls: []call{
				{id: "a", sends: response("a", "", "1"), want: "1"},
				{distinct: true, sends: response("a", "", "1") + noID("r1"), want: "r1"},
			},
			dialCount: 1,
		},
		{
			name: "of a reservation, when a run is due",
			calls: []call{
				{distinct: true, sends: noID("r1"), want: "r1"},
				{id: "a", sends: noID("r1") + response("a", "", "1"), want: "1"},
			},
			dialCount: 1,
		},
		{
			name: "of a rejected reservation",
			calls: []call{
				{distinct: true, sends: refusal(""), want: "full"},
				{distinct: true, sends: noID("r1"), want: "r1"},
			},
			dialCount: 2,
		},
		{
			name: "of a call that nothing ties to its response",
			calls: []call{
				{sends: noID(""), want: ""},
				{distinct: true, sends: noID("r1"), want: "r1"},
				{sends: noID(""), want: ""},
			},
			dialCount: 2,
		},
		{
			name: "head only, of a run",
			calls: []call{
				{id: "a", sends: response("a", "", "body of a"), want: "body of a"},
				{id: "b", sends: "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 9\r\n\r\n" + response("b", "", "2"), want: "!"},
			},
			dialCount: 1,
		},
		{
			name: "part of a header, before that of a run",
			calls: []call{
				{id: "a", sends: refusal("a"), want: "full"},
				{id: "b", sends: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer: x" + response("b", "", "2"), want: "!"},
			},
			dialCount: 1,
		},
		{
			name: "part of a status line, before that of a run",
			calls: []call{
				{id: "a", sends: refusal("a"), want: "full"},
				{id: "b", sends: "HTTP/1.1 503 Serv" + response("b", "", "2"), want: "!"},
			},
			dialCount: 1,
		},
		{
			name: "none, and a protocol name in a field",
			calls: []call{
				{id: "a", sends: response("a", "Via: HTTP/1.1 gate\r\n", "1"), want: "1"},
				{id: "b", sends: response("b", "", "2"), want: "2"},
			},
			dialCount: 1,
		},
		{
			name: "body only, of a run",
			calls: []call{
				{id: "a", sends: response("a", "", "body of a"), want: "body of a"},
				{id: "b", sends: "body of a" + response("b", "", "2"), want: "!"},
			},
			dialCount: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sends []string
			for _, c := range tt.calls {
				sends = append(sends, c.sends)
			}
			s := newScriptedServer(t, sends...)
			c := newClient()
			for _, call := range tt.calls {
				req := s.request(call.id)
				req.Distinct = call.distinct
				got, err := get(t, c, req)
				if call.want == "!" {
					is.True(err != nil)                        // no response is accepted
					is.Equal(fail.Outcome(err), ident.Unknown) // the request may have run
					continue
				}
				is.NoErr(err)
				is.Equal(got, call.want)
			}
			is.Equal(c.DialCount(), tt.dialCount) // connections
		})
	}
}

// TestLateCopyDropsIdleConnection guards against a connection that is reused although something came while it was idle.
func TestLateCopyDropsIdleConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, response("a", "", "1")+response("a", "", "1"), response("b", "", "2"))
	findings := make(chan link.Finding, 8)
	c := link.New(link.Config{Clock: tick.NewReal(), IDHeader: "Attempt", Observe: func(f link.Finding) { findings <- f }})
	got, err := get(t, c, s.request("a"))
	is.NoErr(err)
	is.Equal(got, "1")
	got, err = get(t, c, s.request("b"))
	is.NoErr(err)
	is.Equal(got, "2")
	is.Equal(c.DialCount(), int64(2))
	is.Equal((<-findings).Kind, link.FindingUnread)
}

// TestConnectionEndsBeforeItsIDsAreForgotten guards against a connection that is reused for longer than its IDs are kept.
func TestConnectionEndsBeforeItsIDsAreForgotten(t *testing.T) {
	is := is.New(t)
	const calls = 300
	var sends []string
	for i := range calls {
		sends = append(sends, response(fmt.Sprint("r", i), "", "1"))
	}
	s := newScriptedServer(t, sends...)
	c := newClient()
	for i := range calls {
		_, err := get(t, c, s.request(fmt.Sprint("r", i)))
		is.NoErr(err)
	}
	is.Equal(c.DialCount(), int64(2))
}

// TestUnprovenResponse guards against the header of an earlier response that is taken for the state of its server.
func TestUnprovenResponse(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, response("a", "", "1"), noID(""))
	c := newClient()
	_, err := get(t, c, s.request("a"))
	is.NoErr(err)
	res, err := c.Do(t.Context(), &link.Request{Addr: s.l.Addr().String(), Method: http.MethodDelete, Path: "/x", Host: "h", HeaderTimeout: time.Second})
	is.NoErr(err)
	defer res.Close()
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.True(!res.Proven())
}
