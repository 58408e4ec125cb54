package front_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainAnswersRequestThatArrives guards against a request that is read and gets no response, since the server closes.
func TestDrainAnswersRequestThatArrives(t *testing.T) {
	is := is.New(t)
	w := newTestServer(t)
	drained := make(chan error, 1)
	go func() { drained <- w.s.Drain(context.Background()) }()
	for !w.s.Draining() {
		w.clock.Advance(0)
	}
	is.True(strings.HasPrefix(w.exchange(request("GET", "/open", "")), "HTTP/1.1 200"))
	c := w.dial()
	r := request("GET", "/open", "")
	_, err := io.WriteString(c, r[:10])
	is.NoErr(err)
	for ended := false; !ended; {
		select {
		case <-w.done: // the listener is closed
			ended = true
		default:
			w.clock.Advance(time.Second)
		}
	}
	_, err = io.WriteString(c, r[10:])
	is.NoErr(err)
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(b), "HTTP/1.1 ")) // any response, also one that it has not run
	for {
		select {
		case err := <-drained:
			is.NoErr(err)
			return
		default:
			w.clock.Advance(time.Second)
		}
	}
}
