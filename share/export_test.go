package share

import (
	"context"
	"time"

	"wasabidock.dev/dock/route"
)

// Charge is Admit of a request that does not wait.
func (l *Limiter) Charge(c *route.Customer, tokens int) (time.Duration, bool) {
	return l.Admit(context.Background(), c, tokens, 0)
}
