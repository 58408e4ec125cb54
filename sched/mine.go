package sched

import "wasabidock.dev/dock/ident"

// Mine returns the models whose pool in the own data centre this instance
// schedules, as it sees the fleet.
func (c *Client) Mine() []ident.Model {
	if c.cfg.Local == nil {
		return nil
	}
	c.mu.RLock()
	own := c.layout.Own.Name
	c.mu.RUnlock()
	live := c.cfg.Fleet.Live(own)
	if len(live) == 0 {
		return nil
	}
	var mine []ident.Model
	for _, m := range c.cfg.Local.Models() {
		if Rank(live, own, m)[0] == c.cfg.Self.Instance {
			mine = append(mine, m)
		}
	}
	return mine
}
