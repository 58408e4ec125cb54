package plain

import (
	"slices"

	"wasabidock.dev/dock/ident"
)

// pick returns the one of two random servers with fewer calls in progress, and
// the other as the runner-up. It never returns a server that failed this call,
// and returns one that failed recently only if there is no other.
func (c *Client) pick(r ident.Route, failed []ident.Server) (best Server, next ident.Server, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	var healthy, failing []Server
	for _, s := range c.cfg.Servers.Servers(r) {
		switch until, found := c.aside[s.Name]; {
		case slices.Contains(failed, s.Name):
		case found && now < until:
			failing = append(failing, s)
		default:
			delete(c.aside, s.Name)
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		healthy = failing
	}
	switch len(healthy) {
	case 0:
		return Server{}, "", false
	case 1:
		return healthy[0], "", true
	}
	i := c.rand.IntN(len(healthy))
	j := c.rand.IntN(len(healthy) - 1)
	if j >= i {
		j++
	}
	a, b := healthy[i], healthy[j]
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

// ending is how an attempt ended.
type ending int

const (
	ended      ending = iota // says nothing about the server
	answered                 // whole answer
	unanswered               // no whole answer within the limit of the call
	failed
)

// end records the end of an attempt. A server that failed, or left maxUnanswered calls in a row without an answer, is
// avoided for asideAfterFailure. The next call that it leaves unanswered then counts as a failure too.
func (c *Client) end(s ident.Server, e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[s]--; c.open[s] == 0 {
		delete(c.open, s)
	}
	switch e {
	case answered:
		delete(c.unanswered, s)
	case unanswered:
		c.unanswered[s] = min(c.unanswered[s]+1, maxUnanswered)
	}
	if e == failed || (e == unanswered && c.unanswered[s] == maxUnanswered) {
		c.aside[s] = c.cfg.Clock.Now() + asideAfterFailure
	}
}
