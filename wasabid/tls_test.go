package main_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
)

// authority signs certificates for the loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{cert: cert, key: key, pem: encode("CERTIFICATE", der)}
}

// issue returns a certificate and its key in PEM.
func (a *authority) issue(t *testing.T) (cert, key string) {
	t.Helper()
	is := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, k.Public(), a.key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(k)
	is.NoErr(err)
	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", secret)
}

func encode(kind string, der []byte) string {
	var b bytes.Buffer
	_ = pem.Encode(&b, &pem.Block{Type: kind, Bytes: der})
	return b.String()
}

// client returns what a client that shows a certificate of a trusts: ca.
func (a *authority) client(t *testing.T, ca *authority) *tls.Config {
	t.Helper()
	cert, key := a.issue(t)
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	is.New(t).NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool}
}

// TestFleetOverTLS serves callers over TLS and peers over mutual TLS, with the
// certificates handed over as text.
func TestFleetOverTLS(t *testing.T) {
	if testing.Short() {
		t.Skip("starts three processes")
	}
	is := is.New(t)
	ca, stranger := newAuthority(t), newAuthority(t)
	cert, key := ca.issue(t)
	f := newFleet(t, []string{"east"}, 3)
	f.scheme = "https://"
	f.flags = []string{"-tls-cert", cert, "-tls-key", key, "-peer-cert", cert, "-peer-key", key, "-peer-ca", ca.pem}
	trusted = ca.client(t, ca)
	defer func() { trusted = nil }()
	f.publish(1, []string{"calm,1,100000,400000"}, []string{"calm"})
	f.startAll()
	for _, name := range f.names() {
		f.await("answer by "+name, func() bool {
			s, _, err := chat(t.Context(), f.procs[name], "calm", 5, true)
			return err == nil && s == http.StatusOK
		})
	}
	addr := f.procs["east-1"].peers
	_, err := peer.NewFleetClient(addr, ca.client(t, ca)).Status(t.Context(), &peerpb.StatusRequest{})
	is.NoErr(err)
	_, err = peer.NewFleetClient(addr, stranger.client(t, ca)).Status(t.Context(), &peerpb.StatusRequest{})
	is.True(err != nil) // the peer's certificate is of another authority
	_, err = peer.NewFleetClient(addr, nil).Status(t.Context(), &peerpb.StatusRequest{})
	is.True(err != nil) // no TLS at all
}
