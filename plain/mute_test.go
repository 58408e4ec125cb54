package plain_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mute reads requests and does not answer.
func mute(f *fakeService, c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	for f.head(c) {
	}
}

// TestMuteServerIsAvoided guards against a server that is called again and again although its calls reach their limit without an answer.
func TestMuteServerIsAvoided(t *testing.T) {
	is := is.New(t)
	silent, sound := serve(t, mute), serve(t, answer(whole))
	c := client("http://"+silent.addr, "http://"+sound.addr)
	lost := 0
	for range 30 {
		call := confirm()
		call.Limit = silence / 2 // before the connection counts as broken
		if _, err := c.Call(t.Context(), call); err != nil {
			lost++
		}
	}
	is.True(silent.heads.Load() > 0)
	if lost > 2 {
		t.Errorf("%d of 30 calls reached their limit at the mute server, want at most 2", lost)
	}
}

// TestServerThatAnswersIsNotAvoided guards against a sound server that is left out because a call was short, or its caller left.
func TestServerThatAnswersIsNotAvoided(t *testing.T) {
	is := is.New(t)
	slow := func(f *fakeService, c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if f.head(c) {
			time.Sleep(silence / 4)
			_, _ = c.Write([]byte(whole))
		}
	}
	first, other := serve(t, slow), serve(t, slow)
	c := client("http://"+first.addr, "http://"+other.addr)
	for range 20 {
		short := confirm()
		short.Limit = silence / 20
		_, err := c.Call(t.Context(), short)
		is.True(err != nil)
		for n, m := first.heads.Load(), other.heads.Load(); first.heads.Load() == n || other.heads.Load() == m; {
			_, err = c.Call(t.Context(), confirm())
			is.NoErr(err)
		}
	}
	is.True(first.heads.Load() > 20)
	is.True(other.heads.Load() > 20)
}
