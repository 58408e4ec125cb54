package plain

import (
	"slices"

	"wasabidock.dev/dock/ident"
)

// pick chooses the less busy of two random servers, servers that failed lately
// only if no other is left, and never one that failed this call. It also
// returns the runner-up.
func (c *Client) pick(r ident.Route, failed []ident.Server) (best Server, next ident.Server, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	var well, ill []Server
	for _, s := range c.cfg.Servers.Servers(r) {
		switch until, found := c.aside[s.Name]; {
		case slices.Contains(failed, s.Name):
		case found && now < until:
			ill = append(ill, s)
		default:
			delete(c.aside, s.Name)
			well = append(well, s)
		}
	}
	if len(well) == 0 {
		well = ill
	}
	switch len(well) {
	case 0:
		return Server{}, "", false
	case 1:
		return well[0], "", true
	}
	i := c.rand.IntN(len(well))
	j := c.rand.IntN(len(well) - 1)
	if j >= i {
		j++
	}
	a, b := well[i], well[j]
	if c.open[b.Name] < c.open[a.Name] {
		a, b = b, a
	}
	return a, b.Name, true
}

func (c *Client) begin(s ident.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[s]++
}

// end notes the end of an attempt. A server that failed is avoided for a while.
func (c *Client) end(s ident.Server, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[s]--; c.open[s] == 0 {
		delete(c.open, s)
	}
	if failed {
		c.aside[s] = c.cfg.Clock.Now() + asideAfterFailure
	}
}
