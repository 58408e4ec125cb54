package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestCallerThatHasOnlyEndedSendingGetsNoFalseSuccess guards against an empty 200, or a part of a stream that looks whole, for a caller that still reads.
func TestCallerThatHasOnlyEndedSendingGetsNoFalseSuccess(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		role    fake.Role
		silence fake.Silence
		fault   fake.Fault
		after   time.Duration // time after which the caller ends sending
		body    int           // bytes of the body that the caller sends, of 6
	}{
		{name: "plain", path: "/file/1", role: fake.Plain, silence: fake.Silence{For: 400 * time.Millisecond}, body: 6},
		{name: "idempotent", path: "/read/1", role: fake.Plain, silence: fake.Silence{For: 400 * time.Millisecond}, body: 6},
		{name: "in the body", path: "/file/1", role: fake.Plain, body: 3},
		{name: "stream, reservation", path: "/again/1", role: fake.Decode, silence: fake.Silence{Call: fake.ReservationCall, For: 400 * time.Millisecond}, body: 6},
		{name: "stream, before the head", path: "/again/1", role: fake.Decode, silence: fake.Silence{Call: fake.RunCall, For: 400 * time.Millisecond}, body: 6},
		{name: "stream, between events", path: "/again/1", role: fake.Decode, silence: fake.Silence{Call: fake.RunCall, Event: 2, For: 400 * time.Millisecond}, after: 200 * time.Millisecond, body: 6},
		{name: "stream, its server breaks", path: "/again/1", role: fake.Decode, fault: fake.TruncatedEvent, after: 20 * time.Millisecond, body: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": tt.role})
			h.servers["s1"].SetSilence(tt.silence)
			h.servers["s1"].SetFault(tt.fault)
			h.servers["s1"].SetPace(4, 10*time.Millisecond)
			c, err := net.Dial("tcp", h.proxy.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: host.example\r\nWasabidock-Attempt-Id: a1\r\nAuthorization: Token %s\r\n"+
				"Wasabidock-Deadline-Ms: 2000\r\nWasabidock-Model: m\r\nWasabidock-Token-Count: 100,50\r\nContent-Length: 6\r\n\r\n%s",
				tt.path, testKey, "prompt"[:tt.body])
			is.NoErr(err)
			time.Sleep(tt.after)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // the connection was closed without a response, which promises nothing
			}
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			whole := string(b) == fake.Answer("s1", "a1") || string(b) == eventText(1, 4)
			if resp.StatusCode == http.StatusOK && err == nil && !whole {
				t.Errorf("got 200 with body %q that looks whole", b)
			}
		})
	}
}
