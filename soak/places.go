package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// evacTime is the time from the store's write within which the servers of an evacuated data centre get no
	// more requests.
	evacTime = 5 * time.Second
	// The servers are cold for coldTime and then bear coldRate requests a second. In any second they may get
	// coldExcess times that rate and coldSlack requests more. They crash at coldCrash.
	coldTime   = 4 * time.Second
	coldRate   = 5.0
	coldExcess = 1.5
	coldSlack  = 5.0
	coldCrash  = 25

	// entryLag is how late the entry of a server may be.
	entryLag = 2 * time.Second
	// shortestDown is how long a server that returns cold is down at least, so that instances meet it.
	shortestDown = 700 * time.Millisecond
	// longestLoss is the longest time that a restored store loses. It exceeds the times in which changes
	// must be in force, so that some of them must be before the restore.
	longestLoss = 5500 * time.Millisecond
	// storeDown is how long the store does not respond around a restore.
	storeDown = 300 * time.Millisecond
	// longestRewrite bounds the time after a restore until the lost writes are written again.
	longestRewrite = 1500 * time.Millisecond
)

// centreRegions are the data centres and their regions. Daemons and servers are in them by turns.
var centreRegions = map[string]string{"a": "r", "b": "s"}

func centreOf(i int) string { return string(rune('a' + i%len(centreRegions))) }

// regionLists are the lists of allowed regions from which changes draw. No data centre is in the last one.
var regionLists = [][]string{nil, {"r"}, {"s"}, {"r", "s"}, {"t"}}

// allowed are the allowed regions of a configuration.
type allowed struct {
	routes   [fake.Kinds][]string
	customer []string // of the customer "calm"
}

func newAllowed(rnd *rand.Rand) allowed {
	var a allowed
	for k := range a.routes {
		a.routes[k] = regionLists[rnd.IntN(len(regionLists))]
	}
	a.customer = regionLists[rnd.IntN(len(regionLists)-1)]
	return a
}

// allows reports whether a server in a region may serve a call of a customer.
func (a allowed) allows(kind fake.Kind, customer, region string) bool {
	in := func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return in(a.routes[kind]) && (customer == floodName || in(a.customer))
}

// move is what a step changes of the places in which requests are served.
type move struct {
	regions allowed       // of regions and restore
	whole   bool          // all servers of the data centre, of chill
	again   time.Duration // pause before a second evacuation, of evacuate
	loss    time.Duration // time that the store loses, of restore
	rewrite time.Duration // time from the restore until the lost writes are written again
	key     bool          // restore withdraws a key
}

func newMove(rnd *rand.Rand) move {
	return move{
		regions: newAllowed(rnd), whole: rnd.IntN(2) == 0, again: time.Duration(rnd.Int64N(int64(2 * time.Second))),
		loss: time.Duration(rnd.Int64N(int64(longestLoss))), rewrite: time.Duration(rnd.Int64N(int64(longestRewrite))),
	}
}

// change is a published configuration, by its allowed regions.
type change struct {
	at time.Time
	allowed
}

// evacuation is a time in which a data centre was evacuated.
type evacuation struct {
	centre string
	span
}

// writes are the last writes of the operator and the servers to the store, nil for a removal. They are written
// again after a restore has lost them.
type writes struct {
	mu     sync.Mutex // held during writes, so that the store has them in the same order
	values map[string][]byte
	serial map[string]int // counts the writes of a key
}

func newWrites() *writes {
	return &writes{values: make(map[string][]byte), serial: make(map[string]int)}
}

// write writes an item to the store, or removes it if value is nil.
func (f *fleet) write(key string, value []byte) {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	f.writes.values[key] = value
	f.writes.serial[key]++
	f.send(key, value)
}

func (f *fleet) send(key string, value []byte) {
	if value == nil {
		f.store.Remove(key)
		return
	}
	f.store.Put(key, value)
}

// backup returns a backup of the store and the number of writes of each key in it.
func (f *fleet) backup() (*fake.Backup, map[string]int) {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	return f.store.Backup(), maps.Clone(f.writes.serial)
}

// restore restores the store and returns the keys whose writes are lost.
func (f *fleet) restore(b *fake.Backup, serial map[string]int) map[string]int {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	f.store.Restore(b)
	lost := make(map[string]int)
	for k, n := range f.writes.serial {
		if n != serial[k] {
			lost[k] = n
		}
	}
	return lost
}

// rewrite writes again what was lost, but for keys that were written since.
func (f *fleet) rewrite(lost map[string]int) {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	for k, n := range lost {
		if f.writes.serial[k] == n {
			f.send(k, f.writes.values[k])
		}
	}
}

// register writes the entry of a server, unless the server departs.
func (f *fleet) register(v *server) {
	if !v.away.Load() {
		f.write("servers/"+v.ID(), v.Entry(v.service, v.centre))
	}
}

// restrict publishes a configuration with other allowed regions.
func (f *fleet) restrict(a allowed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed = a
	f.put()
}

// restrict has a configuration with other allowed regions in force for a time.
func (c *carrier) restrict(a allowed, lasts time.Duration) {
	at := c.during("regions", lasts, func() { c.f.restrict(a) }, func() { c.f.restrict(allowed{}) })
	c.rec.moved(at)
}

// chill lets a server, or all of its data centre, go down and return cold.
func (c *carrier) chill(s step) {
	at := span{from: time.Now()}
	for _, v := range c.f.servers {
		if v != c.f.servers[s.target] && (!s.move.whole || v.centre != c.f.servers[s.target].centre) {
			continue
		}
		v.Crash(fake.FatalPart{Down: s.lasts, OnCrash: c.onCrash(v, s.lasts+coldTime), OnStart: func() {
			v.SetCold(c.coldOf(v))
			c.onStart(v)
		}})
	}
	time.Sleep(s.lasts + coldTime)
	at.to = time.Now()
	c.rec.moved(at)
}

// coldOf returns how a server is cold.
func (c *carrier) coldOf(v *server) fake.Cold {
	return fake.Cold{For: coldTime, Crash: coldCrash, Down: downTime, OnCrash: c.onCrash(v, downTime+coldTime), OnStart: func() { c.onStart(v) }}
}

// onCrash returns what happens when a server goes down for a time.
func (c *carrier) onCrash(v *server, d time.Duration) func() {
	return func() {
		now := time.Now()
		c.rec.serverTrouble(v.ID(), span{from: now, to: now.Add(d)})
		v.proxy.gate.Shut()
	}
}

// onStart lets a server that was down be reached, and registers it.
func (c *carrier) onStart(v *server) {
	v.proxy.gate.Open()
	c.f.register(v)
}

// evacuate evacuates a data centre for a time. If no other step evacuates it, its servers are cold afterwards, provided
// that all instances had the time to learn of the evacuation.
func (c *carrier) evacuate(centre string, lasts time.Duration) {
	key := "op/evacuate/" + centre
	what := "evacuated " + centre
	at := c.during(what, lasts, func() {
		c.f.write(key, []byte("1"))
		for _, v := range c.f.servers {
			if v.centre == centre && c.harmed[what] == 1 {
				v.evacuated.Store(time.Now().UnixNano())
			}
		}
	}, func() {
		var from time.Time
		for _, v := range c.f.servers {
			if v.centre != centre {
				continue
			}
			from = time.Unix(0, v.evacuated.Swap(0))
			if time.Since(from) > evacTime && c.rec.storeIsSound(from) {
				v.SetCold(c.coldOf(v))
			}
		}
		c.rec.evacuated(evacuation{centre, span{from: from, to: time.Now()}})
		c.f.write(key, nil)
	})
	at.to = at.to.Add(coldTime)
	c.rec.moved(at)
}

// restore restores the store from a backup. In the time that is lost, the allowed regions change, a key is withdrawn, a
// server departs and its data centre is evacuated.
func (c *carrier) restore(s step) {
	c.restoring.Lock()
	defer c.restoring.Unlock()
	b, serial := c.f.backup()
	lasts := s.move.loss + storeDown + s.move.rewrite + evacTime
	var ends sync.WaitGroup
	if s.move.key {
		c.f.publish(c.nextKey())
	}
	ends.Go(func() { c.restrict(s.move.regions, lasts) })
	ends.Go(func() { c.server(step{act: depart, target: s.target, lasts: lasts}) })
	ends.Go(func() { c.evacuate(c.f.servers[s.target].centre, lasts) })
	time.Sleep(s.move.loss)
	var lost map[string]int
	at := c.during("mute", storeDown, func() {
		c.f.store.SetHanging(true)
		lost = c.f.restore(b, serial)
	}, func() { c.f.store.SetHanging(false) })
	time.Sleep(s.move.rewrite)
	c.f.rewrite(lost)
	at.to = time.Now()
	c.rec.storeTrouble(at)
	ends.Wait()
}

func (r *record) moved(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves = append(r.moves, s)
}

func (r *record) evacuated(e evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations = append(r.evacuations, e)
}

// storeIsSound reports whether the store was not in trouble since an instant.
func (r *record) storeIsSound(from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled(from).Equal(from)
}

// meetsBounds reports whether an arrival at a server shows what its daemon decided then: neither did the server leave what
// had come unread, nor was the daemon paused right before.
func (r *record) meetsBounds(server string, o *outcome, at time.Time) bool {
	return untouched(r.frozen[server], at, at, contactTime) && untouched(r.paused[o.daemon], at, at, contactTime)
}

// regions checks that servers get only requests whose allowed regions have them, by a configuration that may still be in
// force.
func regions(r *record) string {
	for id, list := range r.arrivals {
		region := centreRegions[r.centres[id]]
		for _, a := range list {
			o := r.call(a.ID)
			if o == nil || region == "" || !r.meetsBounds(id, o, a.At) {
				continue
			}
			ok := true
			var last change
			for _, c := range slices.Backward(r.changes) {
				if c.at.After(a.At) {
					continue
				}
				last = c
				if ok = c.allows(o.call.Kind, o.customer, region); ok {
					break
				}
				if a.At.After(r.settled(c.at).Add(applyTime+backTime)) && r.sound(o.daemon, a.At, a.At, true) {
					break // no earlier one is in force
				}
			}
			if !ok {
				return fmt.Sprintf("regions: %s of daemon %d came to %s in %s, which the configurations since %v before do not allow",
					a.ID, o.daemon, id, region, a.At.Sub(last.at))
			}
		}
	}
	return ""
}

// endsEvacuation reports whether the evacuation of the data centre of a server ended when it became cold.
func (r *record) endsEvacuation(server string, at time.Time) bool {
	return slices.ContainsFunc(r.evacuations, func(e evacuation) bool {
		return e.centre == r.centres[server] && e.to.Sub(at).Abs() < backTime
	})
}

// coldServers checks that cold servers get no more requests in any second than they may, from all daemons together. A server
// whose entry is late is not limited yet, unless instances presume that it is cold.
func coldServers(r *record) string {
	bound := coldRate*coldExcess + coldSlack
	for id, spans := range r.cold {
		for _, s := range spans {
			for _, from := range s.Calls {
				if !untouched(r.frozen[id], from, from.Add(time.Second), time.Second) || from.Before(s.From.Add(entryLag)) && !r.endsEvacuation(id, s.From) {
					continue
				}
				if n := within(s.Calls, from, from.Add(time.Second)); float64(n) > bound {
					return fmt.Sprintf("cold: %s got %d requests in a second, %v after it was cold, %.0f are allowed", id, n, from.Sub(s.From), bound)
				}
			}
		}
	}
	return ""
}

// evacuations checks that servers of evacuated data centres get nothing later than evacTime after the write.
func evacuations(r *record) string {
	for _, e := range r.evacuations {
		late := r.settled(e.from).Add(evacTime)
		for id, list := range r.arrivals {
			if r.centres[id] != e.centre {
				continue
			}
			for _, a := range list {
				if !a.At.After(late) || !a.At.Before(e.to) {
					continue
				}
				if o := r.call(a.ID); o != nil && r.meetsBounds(id, o, a.At) {
					return fmt.Sprintf("evacuated: %s of daemon %d came to %s %v after its data centre was evacuated", a.ID, o.daemon, id, a.At.Sub(e.from))
				}
			}
		}
	}
	return ""
}

// isNew reports whether a server has returned cold so recently that instances may not have read its new entry. They take it
// for the process before, and what they learn of it is not kept for the new one.
func (r *record) isNew(server string, at time.Time) bool {
	return slices.ContainsFunc(r.cold[server], func(s fake.ColdSpan) bool { return !at.Before(s.From) && at.Before(s.From.Add(entryLag)) })
}

// collectPlaces adds what the servers have recorded.
func (r *record) collectPlaces(s *server) {
	r.centres[s.ID()], r.cold[s.ID()] = s.centre, s.ColdSpans()
}

// isOutside reports whether no call of a kind may be served by a server.
func (f *fleet) isOutside(v *server, kind fake.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.allowed.allows(kind, floodName, centreRegions[v.centre])
}

func isEvacuated(s *server) bool { return s.evacuated.Load() > 0 && s.service == fake.PlainService }

func isCold(s *server) bool { return s.IsCold() && s.service == fake.PlainService }

// outsideRegions has the plain servers outside the allowed regions run calls.
func outsideRegions(p planted) bool {
	return atServers(func(s *server) bool { return s.service == fake.PlainService && p.f.isOutside(s, p.call.Kind) })(p)
}

// manyAtColdServers has the cold plain servers run a call more often than they may get requests in a second.
func manyAtColdServers(p planted) bool {
	for range coldCrash {
		atServers(isCold)(p)
	}
	return false
}

// String describes the move.
func (m move) String() string {
	var routes []string
	for _, l := range m.regions.routes {
		routes = append(routes, cmp.Or(strings.Join(l, "+"), "any"))
	}
	return fmt.Sprintf("regions %s of %s, whole %t, again after %v, lost %v, written again after %v, key %t",
		strings.Join(routes, " "), cmp.Or(strings.Join(m.regions.customer, "+"), "any"), m.whole, m.again, m.loss, m.rewrite, m.key)
}
