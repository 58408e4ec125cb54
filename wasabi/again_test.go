package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

// statusServer answers Status with the number of the call.
type statusServer struct {
	peerpbconnect.UnimplementedFleetServiceHandler
	calls atomic.Uint64
}

func (s *statusServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Revision: s.calls.Add(1)}, nil
}

// TestStatusNeverReusesConnection guards against showing the answer to an earlier call as that of an instance.
func TestStatusNeverReusesConnection(t *testing.T) {
	is := is.New(t)
	s := &statusServer{}
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewFleetServiceHandler(s))
	var conns atomic.Uint64
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	client, err := tlsFiles{}.client()
	is.NoErr(err)
	sv := &survey{client: client, scheme: "http", timeout: 5 * time.Second}
	for n := range uint64(5) {
		r := sv.askOne(t.Context(), srv.Listener.Addr().String())
		is.NoErr(r.err)
		is.Equal(r.status.GetRevision(), n+1)
		is.Equal(conns.Load(), n+1)
	}
}
