package app

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/spread"
)

// hangLimit ends a test that hangs.
const hangLimit = 10 * time.Second

// TestPeerListenerEnds closes the peers' listener under a running daemon, which
// must then end: its part of the fleet's work can't be reached any more.
func TestPeerListenerEnds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := peer.NewServer(peer.Handlers{
		Fleet: peerpbconnect.UnimplementedFleetServiceHandler{},
		Limit: peerpbconnect.UnimplementedLimitServiceHandler{},
		Place: peerpbconnect.UnimplementedPlaceServiceHandler{},
		Once:  peerpbconnect.UnimplementedOnceServiceHandler{},
	}, nil)
	srv.Serve(t.Context(), l)
	d := &daemon{
		p:     parts{PeerSrv: srv, Spread: &spread.Fleet{}},
		log:   zerolog.Nop(),
		group: startGroup(t.Context(), zerolog.Nop(), nil),
	}
	stop := make(chan struct{})
	hang := time.AfterFunc(hangLimit, func() { close(stop) })
	defer hang.Stop()
	is.NoErr(l.Close())
	err = d.wait(stop)
	is.True(err != nil && strings.Contains(err.Error(), "peers' listener"))
}
