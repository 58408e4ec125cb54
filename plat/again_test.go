package plat_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/tick"
)

// serveAgain answers each call with its URL as the value. When it has read another call on the same
// connection, it sends a part of the answer before once more ahead of the next one.
func serveAgain(t *testing.T, part func(last string) string) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			open.Go(func() { answerAgain(conn, part) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		open.Wait()
	})
	return "http://" + ln.Addr().String()
}

func answerAgain(conn net.Conn, part func(string) string) {
	defer func() { _ = conn.Close() }()
	last := ""
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		own := answer(req.URL.RequestURI())
		if _, err := io.WriteString(conn, part(last)+own); err != nil {
			return
		}
		last = own
	}
}

// answer refuses the names that have "busy" in them.
func answer(uri string) string {
	status := "200 OK"
	if strings.Contains(uri, "busy") {
		status = "429 Too Many Requests"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nRevision: 7\r\nContent-Length: %d\r\n\r\n%s", status, len(uri), uri)
}

// TestAnswerOfAnotherCallIsNotTaken guards against a value of another name or another watch.
func TestAnswerOfAnotherCallIsNotTaken(t *testing.T) {
	parts := []struct {
		name string
		part func(last string) string
	}{
		{"the whole answer before", func(last string) string { return last }},
		{"its status line", func(last string) string { return last[:min(len(last), len("HTTP/1.1 200 "))] }},
		{"its header up to a value", func(last string) string { return last[:max(strings.Index(last, "7\r\n"), 0)] }},
	}
	for _, tt := range parts {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := plat.New(plat.Config{URL: serveAgain(t, tt.part), Timer: tick.NewReal()})
			defer c.Close()
			for n := range uint64(10) {
				name := []string{"instances", "busy", "servers"}[n%3]
				v, err := c.Read(context.Background(), name)
				if name == "busy" {
					is.True(err != nil) // the value of another call in place of the refusal
				} else {
					is.NoErr(err)
					is.Equal(string(v.Data), "/v1/value/"+name)
				}
				v, err = c.Watch(context.Background(), "table/head", n, time.Second)
				is.NoErr(err)
				is.Equal(string(v.Data), fmt.Sprintf("/v1/watch/table/head?after=%d&wait_ms=1000", n))
			}
		})
	}
}
