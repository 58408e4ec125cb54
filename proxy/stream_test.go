package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// eventStream is the header of a response that is a stream of events.
var eventStream = http.Header{"Content-Type": {"text/event-stream"}}

// streamReply returns a regular response with the given body.
func streamReply(body string) fake.Reply {
	return fake.Reply{Header: eventStream, Framing: fake.ByChunks, Body: body}
}

// brokenReply returns a response that breaks off after the given body.
func brokenReply(body string) fake.Reply {
	r := streamReply(body)
	r.Broken = true
	return r
}

// scriptedHarness returns a harness with n decode servers that answer runs with the given responses.
func scriptedHarness(t *testing.T, n int, replies ...fake.Reply) *harness {
	t.Helper()
	roles := map[string]fake.Role{}
	for i := range n {
		roles[fmt.Sprint("d", i+1)] = fake.Decode
	}
	h := newHarness(t, roles)
	script := fake.NewScript(replies...)
	for _, s := range h.servers {
		s.SetScript(script)
	}
	return h
}

const (
	errorText   = `{"error":{"message":"the server failed"}}`
	errorHead   = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n"
	unnumbered  = "data: " + errorText + "\n\n"
	keepAlive   = ": keep-alive\n\n"
	htmlPage    = "<html><head><title>502 Bad Gateway</title></head>\r\n\r\n<body>\r\n</body></html>\r\n\r\n"
	headerLines = "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"
)

// oddReplies are responses that must not continue a stream after its second event.
var oddReplies = []struct {
	name  string
	reply fake.Reply
	last  int64 // the last event that reaches the caller
}{
	{name: "without a seal", reply: fake.Reply{NoSeal: true, Header: eventStream, Body: eventText(3, 4)}, last: 2},
	{name: "of another type", reply: fake.Reply{Header: http.Header{"Content-Type": {"application/json"}}, Body: eventText(3, 4)}, last: 2},
	{name: "without a type", reply: fake.Reply{Body: eventText(3, 4)}, last: 2},
	{name: "to another request", reply: fake.Reply{ID: "a0", Header: eventStream, Body: eventText(3, 4)}, last: 2},
	{name: "with a content coding", reply: fake.Reply{Header: http.Header{"Content-Type": {"text/event-stream"}, "Content-Encoding": {"gzip"}}, Body: eventText(3, 4)}, last: 2},
	{name: "empty, with a length", reply: fake.Reply{Header: eventStream}, last: 2},
	{name: "empty, in chunks", reply: streamReply(""), last: 2},
	{name: "empty, ends with its connection", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose}, last: 2},
	{name: "comments alone", reply: streamReply(keepAlive + keepAlive), last: 2},
	{name: "text of an error", reply: streamReply(errorText), last: 2},
	{name: "text of an error and an empty line", reply: streamReply(errorText + "\n\n"), last: 2},
	{name: "text of an error as an event", reply: streamReply(unnumbered), last: 2},
	{name: "error page", reply: streamReply(htmlPage), last: 2},
	{name: "whole response of an error", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: errorHead + errorText + "\n\n"}, last: 2},
	{name: "header lines", reply: streamReply(headerLines), last: 2},
	{name: "comment and whole response of an error", reply: streamReply(keepAlive + errorHead + errorText), last: 2},
	{name: "event with whole response of an error", reply: streamReply("id: 3\ndata: x\n" + errorHead), last: 2},
	{name: "from the beginning", reply: streamReply(eventText(1, 4)), last: 2},
	{name: "from the last event", reply: streamReply(eventText(2, 4)), last: 2},
	{name: "from a later event", reply: streamReply(eventText(4, 5)), last: 2},
	{name: "event, then text of an error", reply: streamReply(eventText(3, 3) + errorText), last: 3},
	{name: "event, then text of an error as an event", reply: streamReply(eventText(3, 3) + unnumbered), last: 3},
	{name: "event, then header lines", reply: streamReply(eventText(3, 3) + headerLines), last: 3},
	{name: "event, then whole response of an error", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(3, 3) + errorHead + errorText + "\n\n"}, last: 3},
	{name: "event is missing", reply: streamReply(eventText(3, 3) + eventText(5, 5)), last: 3},
	{name: "event comes twice", reply: streamReply(eventText(3, 3) + eventText(3, 4)), last: 3},
	{name: "event, then ID is no number", reply: streamReply(eventText(3, 3) + "id: 4\nid: x\ndata: y\n\n"), last: 3},
	{name: "broken chunks", reply: brokenReply(eventText(3, 3)), last: 3},
	{name: "too short for its length", reply: fake.Reply{Header: eventStream, Body: eventText(3, 3), Broken: true}, last: 3},
	{name: "reset without a length", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(3, 3), Broken: true}, last: 3},
	{name: "status 500", reply: fake.Reply{Status: 500, Body: errorText}, last: 2},
	{name: "status 500 without a seal", reply: fake.Reply{Status: 500, NoSeal: true, Body: errorText}, last: 2},
	{name: "status 500 with events", reply: fake.Reply{Status: 500, Header: eventStream, Body: eventText(3, 4)}, last: 2},
	{name: "status 404", reply: fake.Reply{Status: 404, Body: errorText}, last: 2},
	{name: "status 503, broken", reply: fake.Reply{Status: 503, Body: errorText, Broken: true}, last: 2},
	{name: "status 503, not executed", reply: fake.Reply{Status: 503, NoSeal: true, Header: http.Header{"Wasabidock-Not-Executed": {"1"}}, Body: errorText}, last: 2},
	{name: "status 204", reply: fake.Reply{Status: 204, Header: eventStream}, last: 2},
	{name: "status 206 with events", reply: fake.Reply{Status: 206, Header: eventStream, Body: eventText(3, 4)}, last: 2},
}

// TestResumedStreamPassesOnlyEventsOfTheRequest breaks a stream and lets the next server send something
// else than the rest of it. The caller must get a prefix that is visibly cut, or the whole from a third server.
func TestResumedStreamPassesOnlyEventsOfTheRequest(t *testing.T) {
	for i, tt := range append(oddReplies, oddReplies...) {
		v := way{engines: i < len(oddReplies), counted: true}
		t.Run(fmt.Sprint(tt.name, ", ", v), func(t *testing.T) {
			t.Run("no attempt is left", func(t *testing.T) {
				is := is.New(t)
				h := scriptedHarness(t, 2, brokenReply(eventText(1, 2)), tt.reply)
				v.set(h, testSpec())
				got := h.send(t, http.MethodPost, "/again/1", "prompt", v.apply)
				is.Equal(got.status, 200)
				is.Equal(got.body, eventText(1, tt.last)) // a prefix
				is.True(got.err != nil)                   // visibly cut
				is.Equal(h.runCount(), 2)
			})
			t.Run("one attempt is left", func(t *testing.T) {
				is := is.New(t)
				h := scriptedHarness(t, 3, brokenReply(eventText(1, 2)), tt.reply, streamReply(eventText(tt.last+1, 4)))
				v.set(h, testSpec())
				got := h.send(t, http.MethodPost, "/thrice/1", "prompt", v.apply)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, eventText(1, 4)) // the whole
				is.Equal(got.header.Get("Content-Type"), "text/event-stream")
				is.Equal(h.runCount(), 3)
			})
		})
	}
}

// TestResumedStreamEnds checks responses that continue a stream after its second event to its regular end.
func TestResumedStreamEnds(t *testing.T) {
	tests := []struct {
		name  string
		reply fake.Reply
		want  string // what follows the second event
	}{
		{name: "in chunks", reply: streamReply(eventText(3, 4)), want: eventText(3, 4)},
		{name: "with a length", reply: fake.Reply{Header: eventStream, Body: eventText(3, 4)}, want: eventText(3, 4)},
		{name: "ends with its connection", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(3, 4)}, want: eventText(3, 4)},
		{name: "type with a parameter", reply: fake.Reply{Header: http.Header{"Content-Type": {"Text/Event-Stream; charset=utf-8"}}, Body: eventText(3, 4)}, want: eventText(3, 4)},
		{name: "comments", reply: streamReply(keepAlive + eventText(3, 3) + keepAlive + eventText(4, 4)), want: eventText(3, 3) + keepAlive + eventText(4, 4)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := scriptedHarness(t, 2, brokenReply(eventText(1, 2)), tt.reply)
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 2)+tt.want)
			is.Equal(h.runCount(), 2)
		})
	}
}

// TestBreakAfterLastEvent breaks a stream after its last event, and the next server has none to add. Only
// the maximum number of output tokens can prove that no event is missing.
func TestBreakAfterLastEvent(t *testing.T) {
	tests := []struct {
		name      string
		maxTokens string
		reply     fake.Reply
		broken    bool
	}{
		{name: "all tokens were sent", maxTokens: "100,2", reply: streamReply("")},
		{name: "all tokens were sent, no seal", maxTokens: "100,2", reply: fake.Reply{NoSeal: true, Header: eventStream}, broken: true},
		{name: "more tokens are possible", maxTokens: "100,3", reply: streamReply(""), broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := scriptedHarness(t, 2, brokenReply(eventText(1, 2)), tt.reply)
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Token-Count", tt.maxTokens))
			is.Equal(got.body, eventText(1, 2))
			is.Equal(got.err != nil, tt.broken)
		})
	}
}

// TestFirstResponseOfStream checks which single response a caller gets, from the beginning of a stream or after
// the event from which the caller resumes it.
func TestFirstResponseOfStream(t *testing.T) {
	versioned := "id: 1\ndata: x\n\nwasabidock-weight-versions: 2\nid: 2\ndata: y\n\n"
	tests := []struct {
		name   string
		after  string // Last-Event-Id of the caller, empty for none
		reply  fake.Reply
		status int
		body   string // "" for any if the status is not 200
		broken bool
	}{
		{name: "events", reply: streamReply(eventText(1, 4)), status: 200, body: eventText(1, 4)},
		{name: "events and comments", reply: streamReply(keepAlive + eventText(1, 2) + keepAlive + "\n"), status: 200, body: keepAlive + eventText(1, 2) + keepAlive + "\n"},
		{name: "new version", reply: streamReply(versioned), status: 200, body: versioned},
		{name: "empty", reply: streamReply(""), status: 200},
		{name: "empty, no seal", reply: fake.Reply{NoSeal: true, Header: eventStream}, status: 502},
		{name: "ends with its connection", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(1, 4)}, status: 200, body: eventText(1, 4)},
		{name: "reset without a length", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(1, 4), Broken: true}, status: 200, body: eventText(1, 4), broken: true},
		{name: "from a later event", reply: streamReply(eventText(2, 4)), status: 502},
		{name: "event is missing", reply: streamReply(eventText(1, 1) + eventText(3, 4)), status: 200, body: eventText(1, 1), broken: true},
		{name: "text of an error as an event", reply: streamReply(unnumbered), status: 502},
		{name: "whole response of an error", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: errorHead + errorText + "\n\n"}, status: 502},
		{name: "event, then whole response of an error", reply: fake.Reply{Header: eventStream, Framing: fake.ByClose, Body: eventText(1, 1) + errorHead + errorText + "\n\n"}, status: 200, body: eventText(1, 1), broken: true},
		{name: "status 206 without a seal", reply: fake.Reply{Status: 206, NoSeal: true, Header: eventStream, Body: eventText(1, 4)}, status: 502},
		{name: "status 206", reply: fake.Reply{Status: 206, Body: "x"}, status: 206, body: "x"},
		{name: "status 500", reply: fake.Reply{Status: 500, Body: errorText}, status: 500, body: errorText},
		{name: "status 500 without a seal", reply: fake.Reply{Status: 500, NoSeal: true, Body: errorText}, status: 500, body: errorText},
		{name: "resumed, events", after: "2", reply: streamReply(eventText(3, 4)), status: 200, body: eventText(3, 4)},
		{name: "resumed, empty", after: "4", reply: streamReply(""), status: 200},
		{name: "resumed, empty, no seal", after: "4", reply: fake.Reply{NoSeal: true, Header: eventStream}, status: 502},
		{name: "resumed, from the beginning", after: "2", reply: streamReply(eventText(1, 4)), status: 502},
		{name: "resumed, from a later event", after: "2", reply: streamReply(eventText(4, 4)), status: 502},
	}
	for _, v := range ways() {
		for _, tt := range tests {
			t.Run(fmt.Sprint(tt.name, ", ", v), func(t *testing.T) {
				is := is.New(t)
				h := scriptedHarness(t, 1, tt.reply)
				v.set(h, testSpec())
				changes := []func(*http.Request){v.apply}
				if tt.after != "" {
					changes = append(changes, withHeader("Last-Event-Id", tt.after))
				}
				got := h.send(t, http.MethodPost, "/once/1", "prompt", changes...)
				is.Equal(got.status, tt.status)
				is.Equal(got.err != nil, tt.broken) // visibly cut
				if tt.status == 200 || tt.body != "" {
					is.Equal(got.body, tt.body)
				}
			})
		}
	}
}

// TestSilenceWithoutRetryDoesNotEndStream guards against a stream that is cut because its server is silent for a while, although no retry is left.
func TestSilenceWithoutRetryDoesNotEndStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"d1": fake.Decode, "d2": fake.Decode})
	h.budget.left = 0
	for _, s := range h.servers {
		s.SetPace(2, 1700*time.Millisecond)
	}
	got := h.send(t, http.MethodPost, "/slow/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "5900"))
	is.Equal(got.status, 200)
	is.Equal(got.body, eventText(1, 2))
	is.NoErr(got.err)
}
