package sched

import "wasabidock.dev/dock/ident"

// Mine returns the models whose pool in the own data centre this instance
// schedules, as it sees the fleet.
func (c *Client) ScheduledModels() []ident.Model {
	if c.cfg.Local == nil {
		return nil
	}
	var mine []ident.Model
	for _, m := range c.cfg.Local.Models() {
		if c.Schedules(m) {
			mine = append(mine, m)
		}
	}
	return mine
}

// Schedules reports whether this instance schedules the pool of a model in the
// own data centre, as it sees the fleet.
func (c *Client) Schedules(m ident.Model) bool {
	c.mu.RLock()
	own := c.layout.Own.Name
	c.mu.RUnlock()
	ranked := Rank(c.cfg.Fleet.Live(own), own, m)
	return len(ranked) > 0 && ranked[0] == c.cfg.Self.Instance
}
