package plat_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

func newClient(t *testing.T, h http.Handler, silent time.Duration) *plat.Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c := plat.New(plat.Config{URL: srv.URL, Timer: tick.NewReal(), Silent: silent})
	t.Cleanup(c.Close)
	return c
}

func TestRead(t *testing.T) {
	tests := []struct {
		name string
		set  func(*stand.Platform)
		want error
		data string
		rev  uint64
	}{
		{"missing", func(*stand.Platform) {}, plat.ErrMissing, "", 0},
		{"newest", func(p *stand.Platform) { p.Put("table/head", []byte("a")); p.Put("table/head", []byte("b")) }, nil, "b", 2},
		{"stale", func(p *stand.Platform) {
			p.Put("table/head", []byte("a"))
			p.Put("table/head", []byte("b"))
			p.SetStale(1)
		}, nil, "a", 1},
		{"over the budget", func(p *stand.Platform) {
			p.Put("table/head", nil)
			p.SetBudget(1)
			p.ServeHTTP(httptest.NewRecorder(), get())
		}, plat.ErrBusy, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := stand.NewPlatform(stand.PlatformConfig{Timer: tick.NewFake(0)})
			tt.set(p)
			v, err := newClient(t, p, 0).Read(context.Background(), "table/head")
			is.True(errors.Is(err, tt.want))
			is.Equal(string(v.Data), tt.data)
			is.Equal(v.Revision, tt.rev)
		})
	}
}

func get() *http.Request {
	return httptest.NewRequest(http.MethodGet, "/v1/value/table/head", http.NoBody)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	p := stand.NewPlatform(stand.PlatformConfig{Timer: tick.NewReal()})
	c := newClient(t, p, 0)
	p.Put("table/head", []byte("a"))
	_, err := c.Watch(context.Background(), "table/head", 1, 30*time.Millisecond)
	is.True(errors.Is(err, plat.ErrUnchanged))

	got := make(chan plat.Value, 1)
	go func() {
		v, _ := c.Watch(context.Background(), "table/head", 1, time.Minute)
		got <- v
	}()
	p.Put("table/head", []byte("b"))
	is.Equal((<-got).Revision, uint64(2))
}

// A connection that goes silent is given up and the next call uses another.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var conns, calls atomic.Int32
	release := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			<-release
			return
		}
		w.Header().Set("Revision", "1")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	defer close(release)
	c := plat.New(plat.Config{URL: srv.URL, Timer: tick.NewReal(), Silent: 200 * time.Millisecond})
	defer c.Close()

	_, err := c.Read(context.Background(), "x")
	is.NoErr(err)
	_, err = c.Read(context.Background(), "x")
	is.True(errors.Is(err, plat.ErrSilent))
	is.Equal(conns.Load(), int32(2))
	_, err = c.Read(context.Background(), "x")
	is.NoErr(err)
	is.Equal(conns.Load(), int32(3))
}
