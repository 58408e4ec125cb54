package front_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "dock"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// TestTLS checks, over HTTP/1.1 and HTTP/2, that a stream completes and that a
// caller that stops reading is disconnected. Without stalledConn, TLS would delay
// the end of the request by waiting to send its close_notify alert.
func TestTLS(t *testing.T) {
	cert := selfSigned(t)
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(proto, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}})
			tr := &http.Transport{
				TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
				ForceAttemptHTTP2: proto == "HTTP/2.0",
			}
			defer tr.CloseIdleConnections()
			resp, err := w.post(tr)
			is.NoErr(err)
			is.Equal(resp.Proto, proto)
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.True(strings.HasSuffix(string(b), "data: [DONE]\n\n"))

			ended := generateForever(w)
			resp, err = w.post(tr)
			is.NoErr(err)
			start := time.Now()
			is.True(<-ended != nil)                      // the caller does not read the response
			is.True(time.Since(start) < 10*stallTimeout) // TLS does not wait to send close_notify
			is.NoErr(resp.Body.Close())
		})
	}
}

// post sends a request for a streamed response.
func (w *testServer) post(rt http.RoundTripper) (*http.Response, error) {
	const body = `{"model":"dossier","stream":true,"messages":[{"role":"user","content":"Fits?"}]}`
	req, err := http.NewRequestWithContext(context.Background(), "POST",
		"https://"+w.addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return rt.RoundTrip(req)
}
