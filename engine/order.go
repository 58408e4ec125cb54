package engine

import (
	"context"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
)

var _ orders.EngineClient = (*Client)(nil)

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, o orders.Order) error {
	in := OrderRequest{
		Kind:    string(o.Kind),
		Model:   o.Model.Name,
		Adapter: o.Model.Adapter,
		Version: o.Model.Version,
		Role:    o.Role,
		Fence:   o.Fence,
	}
	return c.work(ctx, "engine: order", o.Server, c.cfg.CallTimeout, PathOrders, in, &struct{}{})
}

// State converts the report of the engine s for package orders. The parameter since is the time since
// the report was received.
func (l LoadReport) State(s ident.Server, since time.Duration) orders.State {
	return orders.State{
		Server:   s,
		Role:     l.Role,
		Models:   models(l.Models),
		Loading:  models(l.Loading),
		Draining: l.Draining,
		Fence:    l.Fence,
		Age:      since + time.Duration(l.AgeMS)*time.Millisecond,
	}
}

func models(ls []LoadedModel) []orders.Model {
	var out []orders.Model
	for _, l := range ls {
		out = append(out, orders.Model{Name: l.Model, Adapter: l.Adapter, Version: l.Version})
	}
	return out
}
