package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/certs"
	"wasabidock.dev/dock/tick"
)

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.pem, _, a.cert, a.key = sign(t, nil, time.Hour)
	return a
}

// sign returns a certificate that is valid for life, signed by a or by itself.
func sign(t *testing.T, a *authority, life time.Duration) (cert, key []byte, parsed *x509.Certificate, private *ecdsa.PrivateKey) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "a1"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(life),
		IsCA: a == nil, BasicConstraintsValid: true,
	}
	parent, signer := tmpl, private
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &private.PublicKey, signer)
	is.NoErr(err)
	parsed, err = x509.ParseCertificate(der)
	is.NoErr(err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
	return cert, key, parsed, private
}

func store(t *testing.T, a *authority, ca []byte) *certs.Store {
	t.Helper()
	cert, key, _, _ := sign(t, a, time.Hour)
	s, err := certs.New(certs.Config{Cert: certs.PEM(cert), Key: certs.PEM(key), CA: certs.PEM(ca)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// shake connects the two configurations and returns what each side saw.
func shake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = c.Close() }()
		done <- tls.Server(c, server).HandshakeContext(context.Background())
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return <-done, err
	}
	defer func() { _ = c.Close() }()
	serverErr = <-done
	_, err = io.ReadAll(c)
	return serverErr, err
}

func TestMutual(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	good := store(t, ours, ours.pem)
	tests := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		ok     bool
	}{
		{"both of our CA", good.Server(), store(t, ours, ours.pem).Client(), true},
		{"client of another CA", good.Server(), store(t, theirs, ours.pem).Client(), false},
		{"server of another CA", store(t, theirs, ours.pem).Server(), good.Client(), false},
		{"client without certificate", good.Server(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serverErr, clientErr := shake(t, tt.server, tt.client)
			is.Equal(serverErr == nil && clientErr == nil, tt.ok)
		})
	}
}

func TestReload(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	dir := t.TempDir()
	certPath, keyPath := filepath.Join(dir, "tls.crt"), filepath.Join(dir, "tls.key")
	write := func(cert, key []byte) {
		is.NoErr(os.WriteFile(certPath, cert, 0o600))
		is.NoErr(os.WriteFile(keyPath, key, 0o600))
	}
	cert, key, first, _ := sign(t, ca, time.Hour)
	write(cert, key)
	s, err := certs.New(certs.Config{Cert: certs.File(certPath), Key: certs.File(keyPath)})
	is.NoErr(err)
	inUse := func() *big.Int {
		c, err := s.Server().GetCertificate(nil)
		is.NoErr(err)
		return c.Leaf.SerialNumber
	}
	is.Equal(inUse().Cmp(first.SerialNumber), 0)

	cert2, key2, second, _ := sign(t, ca, time.Hour)
	expired, expiredKey, _, _ := sign(t, ca, -time.Hour)
	for _, bad := range []struct {
		name      string
		cert, key []byte
	}{
		{"no PEM", []byte("x"), key2},
		{"key of another certificate", cert2, key},
		{"expired", expired, expiredKey},
		{"empty", nil, nil},
	} {
		write(bad.cert, bad.key)
		changed, err := s.Reload()
		is.True(err != nil) // bad content is refused
		is.True(!changed)
		is.Equal(inUse().Cmp(first.SerialNumber), 0) // the old one stays
	}

	write(cert2, key2)
	clock := tick.NewFake(0)
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Start(ctx, clock, time.Minute, zerolog.Nop())
	for inUse().Cmp(second.SerialNumber) != 0 {
		clock.Advance(time.Minute)
	}
	cancel()
	<-done
	changed, err := s.Reload()
	is.NoErr(err)
	is.True(!changed) // nothing new
}

func TestSources(t *testing.T) {
	is := is.New(t)
	t.Setenv("TLS_KEY", "content")
	b, err := certs.Env("TLS_KEY")()
	is.NoErr(err)
	is.Equal(string(b), "content")
	_, err = certs.Env("TLS_KEY_THAT_IS_NOT_SET")()
	is.True(err != nil)
	_, err = certs.New(certs.Config{Cert: certs.Env("TLS_KEY"), Key: certs.Env("TLS_KEY")})
	is.True(err != nil)
}
