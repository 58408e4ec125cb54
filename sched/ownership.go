package sched

import "wasabidock.dev/dock/ident"

// ScheduledModels returns the models whose pool in the local data centre this instance schedules,
// according to its own list of live instances.
func (c *Client) ScheduledModels() []ident.Model {
	if c.cfg.Local == nil {
		return nil
	}
	var models []ident.Model
	for _, m := range c.cfg.Local.Models() {
		if c.Schedules(m) {
			models = append(models, m)
		}
	}
	return models
}

// Schedules reports whether this instance schedules the pool of a model in the local data centre,
// according to its own list of live instances.
func (c *Client) Schedules(m ident.Model) bool {
	c.mu.RLock()
	own := c.layout.Own.Name
	c.mu.RUnlock()
	ranked := Rank(c.cfg.Fleet.Live(own), own, m)
	return len(ranked) > 0 && ranked[0] == c.cfg.Self.Instance
}
