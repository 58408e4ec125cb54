package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// fatalGap is the mean time between calls with a fatal part.
	fatalGap = 250 * time.Millisecond
	// downTime is how long a crashed server is down.
	downTime = 700 * time.Millisecond

	// fatalCrashes is the number of crashes that show that a part is fatal. Later than contactTime after
	// them, fatalExtra more calls with the part may reach servers.
	fatalCrashes = 5
	fatalExtra   = 3
	// From twice contactTime after the crashes, the share of sound calls that are served must be at least
	// besideShare of what it is otherwise, with besideCalls calls or more on both sides.
	besideShare = 0.5
	besideCalls = 20
)

// crash lets a part crash the model servers while clients send calls with it.
func (c *carrier) crash(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.lasts)
	defer cancel()
	rnd := rand.New(rand.NewPCG(uint64(s.at), uint64(s.lasts)))
	part := fatalPart{id: fmt.Sprintf("f%x", uint64(s.at)), span: span{from: time.Now()}}
	for _, v := range c.f.servers {
		if v.service == fake.ModelService {
			v.AddFatalPart(c.fatalPartOf(v, part.id, s.point))
			defer v.RemoveFatalPart(part.id)
		}
	}
	sender := newClient(clients+floods, uint64(s.at), c.f, c.rec, c.plant)
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		o := &outcome{daemon: rnd.IntN(len(c.f.daemons)), customer: "calm", call: fake.Call{
			ID: fmt.Sprintf("%s-%d", part.id, n), Kind: fake.Streaming + fake.Kind(n%2), Key: "calm", Parts: []string{firstPart, part.id},
		}}
		calls.Go(func() { sender.send(o) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(fatalGap))):
		}
	}
	part.to = time.Now()
	calls.Wait()
	c.rec.mu.Lock()
	defer c.rec.mu.Unlock()
	c.rec.fatal = append(c.rec.fatal, part)
}

// fatalPartOf returns a part that crashes a server, which registers itself again when it is back.
func (c *carrier) fatalPartOf(v *server, id string, at fake.CrashPoint) fake.FatalPart {
	return fake.FatalPart{
		ID: id, At: at, Down: downTime,
		OnCrash: c.onCrash(v, downTime), OnStart: func() { c.onStart(v) },
	}
}

// crashesOf returns the times of the crashes of a part.
func (r *record) crashesOf(part string) []time.Time {
	var times []time.Time
	for _, c := range r.crashes {
		if c.Part == part {
			times = append(times, c.At)
		}
	}
	return times
}

// fatalParts checks that calls with a part that has crashed servers reach no more servers.
func fatalParts(r *record) string {
	for _, p := range r.fatal {
		crashes := r.crashesOf(p.id)
		if len(crashes) < fatalCrashes {
			continue
		}
		known := crashes[fatalCrashes-1].Add(contactTime)
		late := make(map[string]bool)
		for _, list := range r.arrivals {
			for _, a := range list {
				o := r.call(a.ID)
				if a.At.After(known) && o != nil && slices.Contains(o.call.Parts, p.id) && r.sound(o.daemon, a.At, a.At, true) {
					late[a.ID] = true
				}
			}
		}
		if len(late) > fatalExtra {
			return fmt.Sprintf("fatal: %d calls with part %s reached servers later than %v after it had crashed %d; it crashed %d in all",
				len(late), p.id, contactTime, fatalCrashes, len(crashes))
		}
	}
	return ""
}

// besideFatalParts checks that sound calls are served while calls with a fatal part come.
func besideFatalParts(r *record) string {
	for _, p := range r.fatal {
		crashes := r.crashesOf(p.id)
		if len(crashes) == 0 {
			continue
		}
		from := crashes[min(len(crashes), fatalCrashes)-1].Add(2 * contactTime)
		var beside, calm share
		for _, o := range r.calls {
			if !r.isSoundStream(o) || !r.sound(o.daemon, o.sent, o.ended, true) || r.newPartAt(p, o.sent) || !untouched(r.crowds, o.sent, o.ended, 0) || !untouched(r.moves, o.sent, o.ended, contactTime) {
				continue
			}
			switch {
			case o.sent.After(from) && o.sent.Before(p.to):
				beside.add(o.status == 200)
			case r.calmServers(o):
				calm.add(o.status == 200)
			}
		}
		if beside.n >= besideCalls && calm.n >= besideCalls && beside.of() < besideShare*calm.of() {
			return fmt.Sprintf("beside: %d of %d sound calls were served while calls with part %s came, %d of %d otherwise",
				beside.hits, beside.n, p.id, calm.hits, calm.n)
		}
	}
	return ""
}

// newPartAt reports whether another part than p may still crash servers at an instant.
func (r *record) newPartAt(p fatalPart, at time.Time) bool {
	return slices.ContainsFunc(r.fatal, func(o fatalPart) bool {
		crashes := r.crashesOf(o.id)
		if o.id == p.id || len(crashes) == 0 {
			return false
		}
		known := crashes[min(len(crashes), fatalCrashes)-1].Add(2 * contactTime)
		return at.After(crashes[0]) && at.Before(known)
	})
}

// isSoundStream reports whether a call begins with the part with which the calls of fatal begin, and has no
// fatal part.
func (r *record) isSoundStream(o *outcome) bool {
	if o.call.Service() != fake.ModelService || len(o.call.Parts) == 0 || !o.left.IsZero() || o.status == 401 {
		return false
	}
	return !r.isFatal(o)
}

// isFatal reports whether a call has a part that crashes servers.
func (r *record) isFatal(o *outcome) bool {
	return slices.ContainsFunc(r.fatal, func(p fatalPart) bool { return slices.Contains(o.call.Parts, p.id) })
}

// share counts how many of some calls have a property.
type share struct{ hits, n int }

func (s *share) add(hit bool) {
	s.n++
	if hit {
		s.hits++
	}
}

func (s *share) of() float64 { return float64(s.hits) / float64(s.n) }
