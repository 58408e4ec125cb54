package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
)

// certificate returns a certificate for the loopback and the configuration of a client that trusts it.
func certificate(t *testing.T) (tls.Certificate, *tls.Config) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}

// TestNeverSpeaksHTTP1 guards against calls over HTTP/1.1, in which an answer does not say to which call it is.
func TestNeverSpeaksHTTP1(t *testing.T) {
	tests := []struct {
		name   string
		tls    bool
		protos []string // that a server over TLS offers
	}{
		{"plain", false, nil},
		{"TLS without protocols", true, nil},
		{"TLS with http/1.1", true, []string{"http/1.1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == "PRI" {
					return // the preface of HTTP/2, which an HTTP/1.1 server reads as a request
				}
				calls.Add(1)
				w.Header().Set("Content-Type", "application/proto")
			}))
			srv.Config.Protocols = new(http.Protocols)
			srv.Config.Protocols.SetHTTP1(true)
			var cfg *tls.Config
			if tt.tls {
				cert, trust := certificate(t)
				l := tls.NewListener(srv.Listener, &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: tt.protos, MinVersion: tls.VersionTLS13})
				srv.Listener, cfg = l, trust
			}
			srv.Start()
			defer srv.Close()
			addr := srv.Listener.Addr().String()
			pool := peer.NewPool(peer.Config{Address: func(ident.Instance) (string, bool) { return addr, true }, TLS: cfg})
			defer pool.Close()
			c, err := pool.Fleet("b")
			is.NoErr(err)
			for _, c := range []interface {
				Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error)
			}{c, peer.NewFleetClient(addr, cfg)} {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err = c.Status(ctx, &peerpb.StatusRequest{})
				cancel()
				is.True(err != nil)
			}
			is.Equal(calls.Load(), int64(0))
		})
	}
}
