package rate

import (
	"context"
	"time"

	"wasabidock.dev/dock/route"
)

// TryAdmit is Admit for a request that does not wait.
func (l *Limiter) TryAdmit(c *route.Customer, tokens int) (time.Duration, bool) {
	return l.Admit(context.Background(), c, tokens, 0)
}
