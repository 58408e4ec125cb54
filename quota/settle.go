package quota

import (
	"context"
	"sync"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
)

const (
	settleQueue   = 4096 // settlements that wait for delivery
	settleWorkers = 4
	settleTries   = 4
)

// settlement is what a charge at another instance did not use.
type settlement struct {
	holder ident.Instance
	req    *peerpb.SettleRequest
	tries  int
}

// settler holds the settlements that wait for delivery.
type settler struct {
	queue chan settlement

	mu    sync.Mutex // guards later
	later []settlement
}

// giveBack returns unused tokens to the holders of the parts, first to those
// that come first: they are the nearest.
func (s *Service) giveBack(c ident.Customer, parts []*peerpb.Part, unused int64) {
	for _, p := range parts {
		n := min(unused, p.GetTokens())
		unused -= n
		s.giveBackPart(c, p, n)
	}
}

func (s *Service) giveBackPart(c ident.Customer, p *peerpb.Part, unused int64) {
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

func (s *Service) enqueue(e settlement) {
	select {
	case s.settler.queue <- e:
	default:
		s.counts.lost.Add(1)
	}
}

// settleAll delivers settlements until ctx ends.
func (s *Service) settleAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.settler.queue:
			s.deliver(ctx, e)
		}
	}
}

// deliver sends one settlement. The holder takes a second copy for nothing, so
// that a lost answer may be followed by another try.
func (s *Service) deliver(ctx context.Context, e settlement) {
	e.tries++
	if s.settleAt(ctx, e) == nil {
		return
	}
	s.settler.mu.Lock()
	defer s.settler.mu.Unlock()
	if e.tries >= settleTries || len(s.settler.later) >= settleQueue {
		s.counts.lost.Add(1)
		return
	}
	s.settler.later = append(s.settler.later, e)
}

func (s *Service) settleAt(ctx context.Context, e settlement) error {
	if s.peers.silent(s.time.Now(), e.holder, settleTimeout) {
		return errSilent
	}
	client, err := s.dialer.Limit(e.holder)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	s.counts.calls.Add(1)
	_, err = client.Settle(call, e.req)
	s.peers.note(ctx, s.time.Now(), e.holder, err)
	return err
}

// requeue lets the failed settlements be tried again.
func (s *Service) requeue() {
	s.settler.mu.Lock()
	later := s.settler.later
	s.settler.later = nil
	s.settler.mu.Unlock()
	for _, e := range later {
		s.enqueue(e)
	}
}
