package sweep

import (
	"context"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// dispatch passes the engines with due calls to the workers.
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

// due returns the engines with due calls and marks them as busy. Only one worker
// at a time processes an engine, so an engine that hangs occupies no other worker.
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

// finish marks an engine as no longer busy.
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

// renew renews the live holds at an engine if that is due.
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

// touched records the contact of holds that were renewed.
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

// touchable returns the holds to renew now, without those that are new or renewed
// by an open stream.
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
// live holds are due for renewal. Otherwise live holds could expire while a slow
// engine processes many releases.
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

// renewalDue reports whether live holds at an engine are due for renewal.
func (k *Keeper) renewalDue(s ident.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.servers[s]
	return len(ac.live) > 0 && k.cfg.Timer.Now() >= ac.touch
}

// first returns the oldest pending release. It abandons those whose hold has
// expired.
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

// pop removes the oldest pending release. Only the worker that processes the
// engine calls it.
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

// notify sends a signal to c, which buffers one, unless there is one already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
