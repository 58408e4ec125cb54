package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// restartTime is the pause before a fresh process takes the seat.
	restartTime = 300 * time.Millisecond
	// lagTime is how late the bytes of a slow peer come.
	lagTime = 60 * time.Millisecond
	// restTime is for how long a server wants nothing, in seconds as it says so.
	restTime = "2.5"
)

// carrier carries a plan out. Steps overlap; what two of them harm stays
// harmed until both have ended.
type carrier struct {
	f    *fleet
	rec  *record
	ends sync.WaitGroup
	// plant is what stands between the clients and the daemons, nil for nothing.
	plant func(*fleet, http.RoundTripper) http.RoundTripper

	seats     []sync.Mutex // held while a daemon is replaced
	restoring sync.Mutex   // held while the store loses writes

	mu     sync.Mutex     // guards the fields below
	harmed map[string]int // steps that harm it now
	keys   int            // withdrawn
}

func newCarrier(f *fleet, rec *record, plant func(*fleet, http.RoundTripper) http.RoundTripper) *carrier {
	return &carrier{f: f, rec: rec, plant: plant, harmed: make(map[string]int), seats: make([]sync.Mutex, len(f.daemons))}
}

// run carries the steps out and returns when all have ended.
func (c *carrier) run(ctx context.Context, plan []step) {
	start := time.Now()
	for _, s := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(s.at - time.Since(start)):
		}
		if ctx.Err() != nil {
			break
		}
		c.ends.Go(func() { c.step(s) })
	}
	c.ends.Wait()
}

func (c *carrier) step(s step) {
	switch s.act {
	case stopOne, killOne:
		c.replace(s)
	case pauseOne, hangup, cutOne, resetOne, slowOne:
		c.disturb(s)
	case storeMute, storeShed, storePrune:
		c.store(s)
	case harm, darken, lag, breakConns, depart, announce, rest, nameLimit, second, silence:
		c.server(s)
	case fatal:
		c.crash(s)
	case withdraw:
		c.f.publish(c.nextKey())
	case publish:
		c.f.publish()
	case tune:
		c.f.tune(s.tuned)
	case crowd:
		c.crowd(s)
	case restrict:
		c.restrict(s.move.regions, s.lasts)
	case chill:
		c.chill(s)
	case evacuate:
		c.evacuate(c.f.servers[s.target].centre, s.lasts)
		time.Sleep(s.move.again)
		c.evacuate(c.f.servers[s.target].centre, evacTime+longest)
	case restore:
		c.restore(s)
	}
}

// nextKey returns a key that has not been withdrawn.
func (c *carrier) nextKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys++
	return spareKey(c.keys - 1)
}

// replace ends a daemon, planned or not, and starts a fresh one.
func (c *carrier) replace(s step) {
	c.seats[s.target].Lock()
	defer c.seats[s.target].Unlock()
	d := c.f.daemons[s.target]
	from := time.Now()
	how := syscall.SIGKILL
	var late *time.Timer
	if s.act == stopOne {
		how = syscall.SIGTERM
		late = time.AfterFunc(grace, func() {
			if !c.isHarmed(d.name) && c.rec.undisturbed(s.target, from) {
				c.rec.exited(d.name + " was there at the end of its grace")
			}
			d.signal(syscall.SIGKILL)
		})
		defer late.Stop()
	}
	d.signal(how)
	code := d.await()
	c.rec.trouble(s.target, span{from, time.Now().Add(restartTime), s.act == stopOne})
	c.rec.halt(s.target, span{from: from, to: time.Now().Add(restartTime)})
	// A process that is stopped before it listens has no promise to keep, and late has judged one that it killed.
	if s.act == stopOne && late.Stop() && code != 0 && d.listened() && !c.isHarmed(d.name) {
		c.rec.exited(fmt.Sprintf("%s stopped with code %d", d.name, code))
	}
	time.Sleep(restartTime)
	if err := d.start(); err != nil {
		c.rec.exited(err.Error())
	}
}

func (c *carrier) isHarmed(what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.harmed[what] > 0
}

// during has something harmed for a time; off is called when nothing harms it
// any more. It returns the span.
func (c *carrier) during(what string, d time.Duration, on, off func()) span {
	from := time.Now()
	c.mu.Lock()
	c.harmed[what]++
	on()
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.harmed[what]--; c.harmed[what] == 0 {
		off()
	}
	return span{from: from, to: time.Now()}
}

func (c *carrier) disturb(s step) {
	d := c.f.daemons[s.target]
	var at span
	switch s.act {
	case pauseOne:
		at = c.during(d.name, s.lasts, func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) })
		c.rec.halt(s.target, at)
		c.rec.pause(s.target, at)
	case hangup:
		d.signal(syscall.SIGHUP)
		return
	case cutOne:
		at = c.during(d.name+" cut", s.lasts, func() { d.store.dark.Store(true) }, func() {
			d.store.dark.Store(false)
			d.store.reset() // bytes are missing in what goes on
		})
	case slowOne:
		at = c.during(d.name+" slow", s.lasts, func() { d.store.delay.Store(int64(lagTime)) }, func() { d.store.delay.Store(0) })
	default:
		at.from = time.Now()
		d.store.reset()
		at.to = time.Now()
	}
	c.rec.trouble(s.target, at)
}

func (c *carrier) store(s step) {
	st := c.f.store
	switch s.act {
	case storeMute:
		c.rec.storeTrouble(c.during("mute", s.lasts, func() { st.SetHanging(true) }, func() { st.SetHanging(false) }))
	case storeShed:
		c.rec.storeTrouble(c.during("shed", s.lasts, func() { st.SetStatus(503) }, func() { st.SetStatus(0) }))
	default:
		st.Compact()
	}
}

func (c *carrier) server(s step) {
	v := c.f.servers[s.target]
	id := v.ID()
	var at span
	switch s.act {
	case harm:
		at = c.during(id, s.lasts, func() { v.SetFault(s.fault) }, func() { v.SetFault(fake.NoFault) })
		c.rec.misbehaved(id, at, s.fault)
	case darken:
		at = c.during(id+" dark", s.lasts, func() { v.proxy.dark.Store(true) }, func() {
			v.proxy.dark.Store(false)
			v.proxy.reset() // bytes are missing in what goes on
		})
	case lag:
		at = c.during(id+" slow", s.lasts, func() { v.proxy.delay.Store(int64(lagTime)) }, func() { v.proxy.delay.Store(0) })
	case depart:
		c.during(id+" away", s.lasts, func() {
			c.f.write("servers/"+id, v.DrainingEntry(v.service, v.centre))
			v.away.Store(true)
			c.rec.note(&c.rec.departed, id)
		}, func() {
			v.away.Store(false)
			c.rec.note(&c.rec.returned, id)
			c.f.register(v)
		})
		return
	case announce:
		c.during(id+" leaves", s.lasts, func() {
			v.SetDraining(true)
			v.leaves.Store(true)
		}, func() {
			v.leaves.Store(false)
			v.Restart()
			c.rec.note(&c.rec.returned, id)
			c.f.register(v)
		})
		return
	case nameLimit:
		c.during(id+" limited", s.lasts, func() { v.SetLimit(s.limit) }, func() { v.SetLimit("") })
		return
	case second:
		at = c.during(id+" twice", s.lasts, func() { v.SetSecond(&s.second) }, func() { v.SetSecond(nil) })
	case silence:
		c.silence(v, s)
		return
	case rest:
		at = c.during(id+" rests", s.lasts, func() { v.SetRetryAfter(restTime) }, func() { v.SetRetryAfter("") })
	default:
		at.from = time.Now()
		v.proxy.reset()
		at.to = time.Now()
	}
	c.rec.serverTrouble(id, at)
}

// without returns the keys that are not dead.
func without(keys, dead []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return slices.Contains(dead, k) })
}
