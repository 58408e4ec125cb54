package link_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
)

// TestCopyWhenHEADIsDue guards against the body of a copy that is read as a response, because the response to a HEAD has none.
func TestCopyWhenHEADIsDue(t *testing.T) {
	copied := response("a", "", refusal("b"))
	s := newScriptedServer(t, copied, copied+"HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 5\r\n\r\n", "")
	c := newClient()
	if _, err := get(t, c, s.request("a")); err != nil {
		t.Fatal(err)
	}
	req := s.request("b")
	req.Method, req.Body = http.MethodHead, nil
	res, err := c.Do(t.Context(), req)
	if err != nil {
		return // the outcome is unknown
	}
	defer res.Close()
	if res.Status != http.StatusOK {
		t.Errorf("status %d is taken from the body of the response to another request", res.Status)
	}
}

// TestCopyWithoutEnd guards against a wait for the end of a copy that has no length.
func TestCopyWithoutEnd(t *testing.T) {
	s := newScriptedServer(t, response("a", "", "1"), "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n"+response("b", "", "2"), "")
	c := newClient()
	if _, err := get(t, c, s.request("a")); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_, err := get(t, c, s.request("b"))
	if took := time.Since(start); err == nil || took > 500*time.Millisecond {
		t.Errorf("waited %v for the end of the copy: %v", took, err)
	}
}

// TestRefusalBeforeTheWrite guards against a refusal that the server sent before it got the request.
func TestRefusalBeforeTheWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		cn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = cn.Close() }()
		_, _ = io.WriteString(cn, refusal(""))
		close(sent)
		_ = cn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := cn.Read(make([]byte, 4096)); err == nil {
			_, _ = io.WriteString(cn, response("a", "", "ran"))
		}
	}()
	defer func() {
		_ = l.Close()
		<-done
	}()
	res, err := newClient().Do(t.Context(), &link.Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Path: "/x", Host: "h", ID: "a", HeaderTimeout: time.Second,
		BeforeWrite: func() error {
			<-sent
			time.Sleep(20 * time.Millisecond) // the response is in the receive buffer
			return nil
		},
	})
	if err != nil {
		if o := fail.Outcome(err); o != ident.Unknown && o != ident.NotRun {
			t.Errorf("outcome %v", o)
		}
		return
	}
	defer res.Close()
	if res.Status != http.StatusOK {
		t.Errorf("status %d came before the request was written", res.Status)
	}
}
