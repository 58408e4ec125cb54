package app

import (
	"crypto/tls"
	"strings"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/certs"
	"wasabidock.dev/dock/wasabid/conf"
)

// secure holds the certificates towards callers and peers. A nil store means
// plain text.
type secure struct {
	callers *certs.Store
	peers   *certs.Store
}

func newSecure(cfg *conf.Config) (secure, error) {
	var s secure
	var err error
	if cfg.Cert() != "" {
		s.callers, err = certs.New(certs.Config{Cert: source(cfg.Cert()), Key: source(cfg.CertKey())})
		if err != nil {
			return s, errors.Wrap(err, "certs: callers")
		}
	}
	if cfg.PeerCert() != "" {
		s.peers, err = certs.New(certs.Config{Cert: source(cfg.PeerCert()), Key: source(cfg.PeerKey()), CA: source(cfg.PeerCA())})
		if err != nil {
			return s, errors.Wrap(err, "certs: peers")
		}
	}
	return s, nil
}

// source reads PEM text as it stands, and anything else as the path of a file.
func source(v string) certs.Source {
	if strings.HasPrefix(strings.TrimSpace(v), "-----BEGIN") {
		return certs.PEM([]byte(v))
	}
	return certs.File(v)
}

func (s secure) callerServer() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.Server()
}

func (s secure) peerServer() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Server()
}

func (s secure) peerClient() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Client()
}
