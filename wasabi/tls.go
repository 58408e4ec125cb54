package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/go-faster/errors"
)

// tlsFiles names the files for TLS. Without a CA connections are plain.
type tlsFiles struct {
	ca, cert, key, name string
}

// clientFactory returns the HTTP client for one call.
type clientFactory func() *http.Client

func (f tlsFiles) scheme() string {
	if f.ca == "" {
		return "http"
	}
	return "https"
}

// client reads the files.
func (f tlsFiles) client() (clientFactory, error) {
	cfg, err := f.config()
	if err != nil {
		return nil, err
	}
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
	return func() *http.Client { return c }, nil
}

func (f tlsFiles) config() (*tls.Config, error) {
	if f.ca == "" {
		if f.cert != "" || f.key != "" {
			return nil, errors.New("-cert and -tlskey need -ca")
		}
		return nil, nil
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: f.name, MinVersion: tls.VersionTLS13}
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.ca)
	}
	if f.cert == "" && f.key == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.Wrap(err, "own certificate")
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}
