package link

import (
	"context"
	"net/http"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// Witness is a connection to a server that is opened while the server sends a response that ends with its connection. A
// process that ends takes all its connections with it, so a server that answers on this one after the end of
// the response has ended the response itself.
type Witness struct {
	c    *Client
	addr string
	cn   *conn
}

// Witness opens a connection to a server. The caller must close it.
func (c *Client) Witness(ctx context.Context, addr string, timeout time.Duration) (*Witness, error) {
	c.dialCount.Add(1)
	cn, err := dial(ctx, addr, timeout)
	if err != nil {
		return nil, fail.New("link: witness", addr, ident.NotRun, err)
	}
	return &Witness{c: c, addr: addr, cn: cn}, nil
}

// Confirm sends a GET for a path and returns nil if the server answers it, with any status, within the timeout.
func (w *Witness) Confirm(ctx context.Context, path, host string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = w.cn.Close() })
	defer stop()
	defer func() { w.cn.src.account.Free() }() // of the header, also of a part of one
	_, err := w.c.roundTrip(ctx, w.cn, &Request{Addr: w.addr, Method: http.MethodGet, Path: path, Host: host})
	return err
}

// Close closes the connection. It does nothing for a nil Witness.
func (w *Witness) Close() {
	if w != nil {
		_ = w.cn.Close()
	}
}
