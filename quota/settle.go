package quota

import (
	"context"
	"sync"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
)

const (
	settleQueueSize   = 4096 // settlements that wait for delivery, and as many that wait for a retry
	settleWorkers     = 4
	maxSettleAttempts = 4
)

// settlement reports the unused tokens of a charge at another instance.
type settlement struct {
	holder   ident.Instance
	req      *peerpb.SettleRequest
	attempts int
}

// settlementQueue holds the settlements that wait for delivery or for a retry.
type settlementQueue struct {
	queue chan settlement

	mu      sync.Mutex // guards retries
	retries []settlement
}

// refund returns unused tokens to the holders of the parts. The parts that come first are refunded
// first, since their holders are the nearest.
func (s *Service) refund(c ident.Customer, parts []*peerpb.Part, unused int64) {
	for _, p := range parts {
		n := min(unused, p.GetTokens())
		unused -= n
		s.refundPart(c, p, n)
	}
}

func (s *Service) refundPart(c ident.Customer, p *peerpb.Part, unused int64) {
	if p.GetHolder() == string(s.node.Instance) {
		if p.GetIncarnation() == s.node.Incarnation {
			s.credit(c, p.GetCharge(), unused)
		}
		return
	}
	s.enqueue(settlement{holder: ident.Instance(p.GetHolder()), req: &peerpb.SettleRequest{
		Incarnation: p.GetIncarnation(),
		Charge:      p.GetCharge(),
		Customer:    string(c),
		Unused:      unused,
	}})
}

// enqueue queues a settlement for delivery. If the queue is full the settlement is lost.
func (s *Service) enqueue(e settlement) {
	select {
	case s.settlements.queue <- e:
	default:
		s.counts.lostSettlements.Add(1)
	}
}

// deliverSettlements delivers settlements until ctx ends.
func (s *Service) deliverSettlements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.settlements.queue:
			s.deliver(ctx, e)
		}
	}
}

// deliver sends one settlement. The holder ignores a second copy, so a settlement whose response
// was lost can be sent again.
func (s *Service) deliver(ctx context.Context, e settlement) {
	e.attempts++
	if s.settleAt(ctx, e) == nil {
		return
	}
	s.settlements.mu.Lock()
	defer s.settlements.mu.Unlock()
	if e.attempts >= maxSettleAttempts || len(s.settlements.retries) >= settleQueueSize {
		s.counts.lostSettlements.Add(1)
		return
	}
	s.settlements.retries = append(s.settlements.retries, e)
}

func (s *Service) settleAt(ctx context.Context, e settlement) error {
	if s.peers.unreachable(s.clock.Now(), e.holder, settleTimeout) {
		return errUnreachable
	}
	client, err := s.dialer.Limit(e.holder)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	s.counts.calls.Add(1)
	_, err = client.Settle(call, e.req)
	s.peers.recordResult(ctx, s.clock.Now(), e.holder, err)
	return err
}

// requeue queues the failed settlements for another attempt.
func (s *Service) requeue() {
	s.settlements.mu.Lock()
	retries := s.settlements.retries
	s.settlements.retries = nil
	s.settlements.mu.Unlock()
	for _, e := range retries {
		s.enqueue(e)
	}
}
