package link

import (
	"context"
	"time"
)

// Probe opens a connection to a server and keeps it for the next request. The error wraps
// syscall.ECONNREFUSED if nothing listens at the address.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) error {
	cn, err := c.open(ctx, addr, timeout)
	if err != nil {
		return err
	}
	cn.returned = c.cfg.Clock.Now()
	cn.expires = cn.returned + defaultIdleLifetime
	c.pool(addr).put(cn)
	return nil
}

// Framed reports whether the response has a length or chunks. The end of another one is the end of its
// connection.
func (res *Response) Framed() bool { return framed(res.resp) }

// Length returns the length of the body that the header names, or -1 if it names none.
func (res *Response) Length() int64 { return res.resp.ContentLength }
