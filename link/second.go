package link

import (
	"context"
	"net/http"
	"time"
)

// SecondConn is a connection to a server that is opened while the server sends a response that ends with its connection. A
// process that ends takes all its connections with it, so a server that answers on this one after the end of
// the response has ended the response itself.
type SecondConn struct {
	c    *Client
	addr string
	cn   *conn
}

// OpenSecond opens a SecondConn to a server. The caller must close it.
func (c *Client) OpenSecond(ctx context.Context, addr string, timeout time.Duration) (*SecondConn, error) {
	cn, err := c.open(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return &SecondConn{c: c, addr: addr, cn: cn}, nil
}

// Confirm sends a GET for a path and returns nil if the server answers it, with any status, before ctx ends. beforeWrite is
// that of Request.BeforeWrite.
func (s *SecondConn) Confirm(ctx context.Context, path, host string, beforeWrite func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cn.Close() })
	defer stop()
	defer func() { s.cn.src.account.Free() }() // of the header, also of a part of one
	_, err := s.c.roundTrip(ctx, s.cn, &Request{Addr: s.addr, Method: http.MethodGet, Path: path, Host: host, BeforeWrite: beforeWrite})
	return err
}

// Close closes the connection. It does nothing for a nil SecondConn.
func (s *SecondConn) Close() {
	if s != nil {
		_ = s.cn.Close()
	}
}
