package sweep

import (
	"context"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// dispatch hands engines with something to do to the workers.
func (k *Keeper) dispatch(ctx context.Context, sub tick.Timer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-sub.C():
		}
		for _, s := range k.due() {
			select {
			case k.work <- s:
			case <-ctx.Done():
				return
			}
		}
	}
}

// due marks and returns the engines with something to do. An engine is given
// to one worker at a time, so that one that hangs ties up no other.
func (k *Keeper) due() []ident.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Timer.Now()
	var out []ident.Server
	for s, ac := range k.servers {
		if ac.busy || now < ac.retry {
			continue
		}
		switch {
		case len(ac.pending) > 0 || (len(ac.live) > 0 && now >= ac.touch):
			ac.busy = true
			out = append(out, s)
		case len(ac.live) == 0:
			delete(k.servers, s)
		}
	}
	return out
}

// serve is the loop of one worker.
func (k *Keeper) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.work:
			err := k.renew(ctx, s)
			if err == nil {
				err = k.releaseAll(ctx, s)
			}
			k.finish(s, err)
		}
	}
}

// finish frees an engine for the next round.
func (k *Keeper) finish(s ident.Server, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.servers[s]
	ac.busy = false
	if err != nil {
		k.counts.Failed++
		ac.retry = k.cfg.Timer.Now() + k.cfg.Retry
	}
	notify(k.wake)
}

// renew touches the live holds at an engine if that is due.
func (k *Keeper) renew(ctx context.Context, s ident.Server) error {
	as := k.touchable(s)
	for len(as) > 0 {
		n := min(len(as), maxTouch)
		asked := k.cfg.Timer.Now()
		if _, err := k.cfg.Engines.Touch(ctx, s, as[:n]); err != nil {
			return err
		}
		k.touched(s, as[:n], asked)
		as = as[n:]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.servers[s]
	if now := k.cfg.Timer.Now(); now >= ac.touch {
		ac.touch = now + k.cfg.Touch
	}
	return nil
}

// touched notes the contact of holds that were renewed.
func (k *Keeper) touched(s ident.Server, as []ident.Attempt, at tick.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Touched += int64(len(as))
	for _, a := range as {
		if l := k.servers[s].live[a]; l != nil {
			l.contact = max(l.contact, at)
		}
	}
}

// touchable returns the holds that are to be renewed now. One that is new, or
// that a stream renews, can wait for the next round.
func (k *Keeper) touchable(s ident.Server) []ident.Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac, now := k.servers[s], k.cfg.Timer.Now()
	if now < ac.touch {
		return nil
	}
	var as []ident.Attempt
	for a, l := range ac.live {
		if (l.streaming && !k.cfg.Streams) || now-l.contact < k.cfg.Touch/2 {
			continue
		}
		as = append(as, a)
	}
	return as
}

// releaseAll cancels until nothing is pending at the engine, a call fails or
// live holds are due to be renewed: a slow engine with many releases must not
// outlast the life of the others.
func (k *Keeper) releaseAll(ctx context.Context, s ident.Server) error {
	for !k.renewalDue(s) {
		r, ok := k.first(s)
		if !ok {
			return nil
		}
		if _, err := k.cfg.Engines.Cancel(ctx, s, r.attempt, 0); err != nil {
			return err
		}
		k.settle(s, true)
	}
	return nil
}

// renewalDue reports whether live holds at an engine wait to be renewed.
func (k *Keeper) renewalDue(s ident.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.servers[s]
	return len(ac.live) > 0 && k.cfg.Timer.Now() >= ac.touch
}

// first returns the oldest pending release, without those whose hold has
// ended by itself.
func (k *Keeper) first(s ident.Server) (release, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.servers[s]
	for len(ac.pending) > 0 {
		if r := ac.pending[0]; k.cfg.Timer.Now() < r.until {
			return r, true
		}
		k.pop(ac, false)
	}
	return release{}, false
}

func (k *Keeper) settle(s ident.Server, acknowledged bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pop(k.servers[s], acknowledged)
}

// pop takes the oldest pending release off. Only the worker that has the
// engine does so.
func (k *Keeper) pop(ac *account, acknowledged bool) {
	ac.pending = ac.pending[1:]
	k.counts.Pending--
	if acknowledged {
		k.counts.Released++
	} else {
		k.counts.Abandoned++
	}
	if k.counts.Pending == 0 {
		notify(k.drained)
	}
}

// notify wakes the reader of c, which holds at most one signal.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
