// Package certs holds the TLS certificates of a process and takes over new
// ones without a restart.
//
// # Usage
//
//	s, err := certs.New(certs.Config{Cert: certs.File("tls.crt"), Key: certs.File("tls.key"), CA: certs.Env("TLS_CA")})
//	srv := &http.Server{TLSConfig: s.Server()}
//	done := s.Start(ctx, clock, time.Minute, log)
//
// # Reloading
//
// Sources are read again on the timer. Content that does not parse, a key that
// does not match its certificate, or a certificate that is out of its time is
// refused, and the one in use stays. The environment of a process does not
// change while it runs; content from there is read once.
//
// # Between instances
//
// Server and Client configurations with a CA demand a certificate from the
// other side that this CA signed. The name in it is not compared: instances
// reach each other by IP numbers, and whoever holds a certificate of the
// fleet's CA is an instance of the fleet.
package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/tick"
)

// Source reads PEM content.
type Source func() ([]byte, error)

// File returns a source that reads the file each time.
func File(path string) Source {
	return func() ([]byte, error) { return os.ReadFile(path) }
}

// Env returns a source that reads the environment variable.
func Env(name string) Source {
	return func() ([]byte, error) {
		v, ok := os.LookupEnv(name)
		if !ok {
			return nil, errors.Errorf("environment variable %s is not set", name)
		}
		return []byte(v), nil
	}
}

// PEM returns a source with fixed content.
func PEM(b []byte) Source {
	return func() ([]byte, error) { return b, nil }
}

// Config holds the sources. CA is nil where the other side needs no
// certificate.
type Config struct {
	Cert Source
	Key  Source
	CA   Source
	Now  func() time.Time // wall clock for validity, nil for the machine's
}

// Store holds the certificates in use. It may be used concurrently.
type Store struct {
	cfg Config
	cur atomic.Pointer[material]
}

// material is one set of content that belongs together.
type material struct {
	cert, key, ca []byte
	pair          *tls.Certificate
	pool          *x509.CertPool
}

// New reads the sources. It fails unless all of them are good.
func New(cfg Config) (*Store, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the sources and reports whether new content is in use now. If
// it returns an error, the content in use stays.
func (s *Store) Reload() (changed bool, err error) {
	next, err := s.read()
	if err != nil {
		return false, err
	}
	if cur := s.cur.Load(); cur != nil && cur.same(next) {
		return false, nil
	}
	if err := next.parse(s.cfg.Now()); err != nil {
		return false, err
	}
	s.cur.Store(next)
	return true, nil
}

func (s *Store) read() (*material, error) {
	var (
		m   material
		err error
	)
	if m.cert, err = s.cfg.Cert(); err != nil {
		return nil, errors.Wrap(err, "certs: read certificate")
	}
	if m.key, err = s.cfg.Key(); err != nil {
		return nil, errors.Wrap(err, "certs: read key")
	}
	if s.cfg.CA == nil {
		return &m, nil
	}
	if m.ca, err = s.cfg.CA(); err != nil {
		return nil, errors.Wrap(err, "certs: read CA")
	}
	return &m, nil
}

func (m *material) same(o *material) bool {
	return bytes.Equal(m.cert, o.cert) && bytes.Equal(m.key, o.key) && bytes.Equal(m.ca, o.ca)
}

func (m *material) parse(now time.Time) error {
	pair, err := tls.X509KeyPair(m.cert, m.key)
	if err != nil {
		return errors.Wrap(err, "certs: certificate and key")
	}
	if now.Before(pair.Leaf.NotBefore) || now.After(pair.Leaf.NotAfter) {
		return errors.Errorf("certs: certificate is valid from %s to %s only",
			pair.Leaf.NotBefore.Format(time.RFC3339), pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	m.pair = &pair
	if m.ca == nil {
		return nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(m.ca) {
		return errors.New("certs: CA holds no certificate")
	}
	return nil
}

// Server returns the configuration of a listener. With a CA it demands a
// certificate from the other side.
func (s *Store) Server() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.cur.Load().pair, nil
		},
	}
	if s.cfg.CA != nil {
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = s.verify
	}
	return cfg
}

// Client returns the configuration of a dialer that shows the certificate and
// demands one of the CA from the other side.
func (s *Store) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.cur.Load().pair, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain against the CA in use.
		VerifyConnection:   s.verify,
	}
}

// verify checks the chain of the other side against the CA in use.
func (s *Store) verify(cs tls.ConnectionState) error {
	m := s.cur.Load()
	if m.pool == nil {
		return errors.New("certs: no CA to check the other side by")
	}
	if len(cs.PeerCertificates) == 0 {
		return errors.New("certs: the other side showed no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         m.pool,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   s.cfg.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
		return errors.Wrap(err, "certs: verify the other side")
	}
	return nil
}

// Start reloads the sources at the period until ctx ends. The returned channel
// is closed when it has stopped.
func (s *Store) Start(ctx context.Context, clock tick.Clock, period time.Duration, log zerolog.Logger) <-chan struct{} {
	done := make(chan struct{})
	timer := clock.Every(period)
	go func() {
		defer close(done)
		tick.Repeat(ctx, timer, func(context.Context) { s.reload(log) })
	}()
	return done
}

func (s *Store) reload(log zerolog.Logger) {
	changed, err := s.Reload()
	switch {
	case err != nil:
		log.Error().Err(err).Msg("certs: new content refused, the old one stays")
	case changed:
		log.Info().Time("until", s.cur.Load().pair.Leaf.NotAfter).Msg("certs: new certificate in use")
	}
}
