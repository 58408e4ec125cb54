package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/tick"
)

// fleet answers Status and fails on any other call.
type fleet struct {
	peerpbconnect.UnimplementedFleetServiceHandler
	name string
}

func (f fleet) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Self: &peerpb.Node{Instance: f.name}}, nil
}

func serve(t *testing.T, name string) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := peer.NewServer(peer.Handlers{
		Fleet: fleet{name: name},
		Limit: peerpbconnect.UnimplementedLimitServiceHandler{},
		Place: peerpbconnect.UnimplementedPlaceServiceHandler{},
		Once:  peerpbconnect.UnimplementedOnceServiceHandler{},
	}, nil)
	s.Serve(t.Context(), l)
	t.Cleanup(func() {
		is.NoErr(s.Shutdown(context.Background()))
		is.NoErr(<-s.Done())
	})
	return l.Addr().String()
}

// relay forwards TCP and, once muted, drops all bytes of the connections that
// were open then, while new ones work.
type relay struct {
	l     net.Listener
	to    string
	epoch atomic.Int64
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &relay{l: l, to: to}
	go r.accept()
	t.Cleanup(func() { _ = l.Close() })
	return r
}

func (r *relay) mute() { r.epoch.Add(1) }

func (r *relay) accept() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		epoch := r.epoch.Load()
		go r.copy(out, in, epoch)
		go r.copy(in, out, epoch)
	}
}

func (r *relay) copy(w io.WriteCloser, rd io.Reader, epoch int64) {
	defer func() { _ = w.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := rd.Read(buf)
		if err != nil {
			return
		}
		if r.epoch.Load() != epoch {
			continue
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newRelay(t, serve(t, "b"))
	pool := peer.NewPool(peer.Config{Address: func(ident.Instance) (string, bool) { return r.l.Addr().String(), true }})
	defer pool.Close()
	c, err := pool.Fleet("b")
	is.NoErr(err)
	_, err = c.Status(t.Context(), &peerpb.StatusRequest{})
	is.NoErr(err)

	r.mute()
	// No deadline of the caller's own: the call ends by the probe alone.
	_, err = c.Status(t.Context(), &peerpb.StatusRequest{})
	is.True(err != nil)
	is.True(!peer.Undialled(err)) // bytes were written: no claim that it did not run

	got, err := c.Status(t.Context(), &peerpb.StatusRequest{})
	is.NoErr(err)
	is.Equal(got.GetSelf().GetInstance(), "b")
}

func TestCallThatTimesOutLeavesItsConnection(t *testing.T) {
	tests := []struct {
		name  string
		limit func(context.Context) (context.Context, func())
	}{
		{"deadline", func(ctx context.Context) (context.Context, func()) {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			return ctx, cancel
		}},
		{"limit of the timer service", func(ctx context.Context) (context.Context, func()) {
			return tick.WithTimeout(ctx, tick.NewReal(), 50*time.Millisecond, io.ErrNoProgress)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay(t, serve(t, "b"))
			pool := peer.NewPool(peer.Config{Address: func(ident.Instance) (string, bool) { return r.l.Addr().String(), true }})
			defer pool.Close()
			status := func(ctx context.Context) error {
				c, err := pool.Fleet("b")
				is.NoErr(err)
				_, err = c.Status(ctx, &peerpb.StatusRequest{})
				return err
			}
			is.NoErr(status(t.Context()))
			r.mute()
			ctx, stop := tt.limit(t.Context())
			is.True(status(ctx) != nil)
			stop()
			// No deadline: on the silent connection this would end by the probe.
			is.NoErr(status(t.Context()))
		})
	}
}

func TestUndialled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed := l.Addr().String()
	is.New(t).NoErr(l.Close())
	tests := []struct {
		name  string
		addr  string
		known bool
	}{
		{"no address", "", false},
		{"connection refused", closed, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := peer.NewPool(peer.Config{Address: func(ident.Instance) (string, bool) { return tt.addr, tt.known }})
			c, err := pool.Fleet("b")
			if err == nil {
				_, err = c.Status(t.Context(), &peerpb.StatusRequest{})
			}
			is.True(err != nil)
			is.True(peer.Undialled(err))
		})
	}
}
