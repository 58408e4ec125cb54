package plain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
)

// echoAgain answers each request with its ID. It repeats a part of each answer at once, and again before
// the next answer on the connection.
func echoAgain(part func(own string) string) func(*fakeService, *net.TCPConn) {
	return func(f *fakeService, c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		before := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			f.heads.Add(1)
			id := req.Header.Get("X-Request-Id")
			status := "200 OK"
			if id[len(id)-1]%2 == 1 {
				status = "503 Service Unavailable"
			}
			own := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(id), id)
			if _, err := io.WriteString(c, before+own+part(own)); err != nil {
				return
			}
			before = part(own)
		}
	}
}

// TestAnswerOfEarlierCallIsNotTaken guards against the answer to one call being returned for another.
func TestAnswerOfEarlierCallIsNotTaken(t *testing.T) {
	tests := []struct {
		name       string
		part       func(string) string
		idempotent bool
	}{
		{"whole answer", func(own string) string { return own }, false},
		{"whole answer, idempotent", func(own string) string { return own }, true},
		{"first half", func(own string) string { return own[:len(own)/2] }, false},
		{"status line", func(string) string { return "HTTP/1.1 200 " }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := serve(t, echoAgain(tt.part))
			cl := client("http://" + f.addr)
			for n := range int64(20) {
				call := confirm()
				call.Idempotent = tt.idempotent
				call.Request = ident.Request(fmt.Sprintf("r%02d", n))
				a, err := cl.Call(context.Background(), call)
				is.NoErr(err)
				is.Equal(string(a.Body), string(call.Request))
				is.Equal(a.Status, []int{http.StatusOK, http.StatusServiceUnavailable}[n%2])
				is.Equal(f.heads.Load(), n+1) // written once
				is.Equal(f.conns.Load(), n+1) // on a connection of its own
			}
		})
	}
}
