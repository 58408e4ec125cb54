package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	grace = 8 * time.Second
	// drainTime is how long the daemons are stopped and started in turn, and drainGap the pause between two of them.
	drainTime = 102 * time.Second
	drainGap  = time.Second
	// zoneClients is the number of clients of a zone. Each keeps one connection, which it reuses after reuseTime at most.
	zoneClients = 1000
	reuseTime   = 12 * time.Second
	// dials is how often a client tries to connect once more.
	dials = 4
)

// site is a small deployment in front of which daemons run.
type site struct {
	store    *store
	daemons  []*daemon
	replicas []*replica
}

// newSite starts the stand-ins and the daemons.
func newSite(e *env, zones, regions []string, perZone int, oneCore bool, replicas []*replica, routes []map[string]any) (*site, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{
			{"name": "app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
			{
				"name": "llm", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvTokens": 42754, "tokenKvBytes": 18432, "linkMbps": 280000, "moves": true, "backups": true, "stride": stride, "most": 12,
					"handleTtlS": 0.5, "stageSwitchS": 6, "pinMs": 4000, "holdMs": 2000, "models": []map[string]any{{"name": "m"}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "apiKeys": []string{"key-1"}, "unit": "generate", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	}
	b, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	st.put("op/config", b)
	for _, r := range replicas {
		st.put("servers/"+r.id, r.entry("ready"))
	}
	s := &site{store: st, replicas: replicas}
	s.daemons, err = newDaemons(e.root, e.dir, st.addr, zones, regions, perZone, nil)
	if err != nil {
		return nil, err
	}
	for _, d := range s.daemons {
		d.oneCore = oneCore
	}
	return s, startAll(s.daemons)
}

// stop ends the daemons.
func (s *site) stop() {
	for _, d := range s.daemons {
		d.stop()
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
	m := map[string]any{
		"name": name, "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false,
	}
	if kind == "streaming" {
		m["gapTargetMs"] = 300
	}
	return m
}

// newPlainReplicas starts n plain replicas in each zone.
func newPlainReplicas(zones []string, n int) ([]*replica, error) {
	var list []*replica
	for _, z := range zones {
		for k := range n {
			r, err := newReplica(fmt.Sprintf("i-app-%s-%d", z, k+1), "app", z, "", 6, 24)
			if err != nil {
				return nil, err
			}
			list = append(list, r)
		}
	}
	return list, nil
}

// kinds are the kinds of requests of a zone with their rates.
var kinds = []struct {
	name string
	perS float64
}{{"confirm", 55}, {"status", 20}}

// drainMessage returns a request of a kind.
func drainMessage(kind string, n int) message {
	m := message{id: fmt.Sprintf("%s-%06d", kind, n), kind: kind, method: http.MethodPost, path: "/" + kind + "/2f", deadline: 2500 * time.Millisecond}
	switch kind {
	case "status":
		m.method = http.MethodGet
	case "confirm":
		m.body = "confirm"
	case "stream":
		m.body, m.deadline = "prompt", 14*time.Second
		m.header = []string{
			"Wasabidock-Model: m", fmt.Sprintf("Wasabidock-Token-Count: %d,%d", 1500+rand.IntN(3000), 40+rand.IntN(120)),
			fmt.Sprintf("Wasabidock-Prompt-Prefix: %08x:200,%08x:1300", rand.IntN(2000), n),
		}
	}
	return m
}

// drainCase stops and starts the daemons in turn, and checks that no request is cut by that.
func drainCase(e *env) ([]string, error) {
	zones, regions := []string{"sierra-a", "sierra-b", "costa-a"}, []string{"sierra", "sierra", "costa"}
	replicas, err := newPlainReplicas(zones, 3)
	if err != nil {
		return nil, err
	}
	s, err := newSite(e, zones, regions, 3, true, replicas, []map[string]any{
		route("r-confirm", "/confirm/", "mutating", "app", 1200, 400, 1),
		route("r-status", "/status/", "idempotent", "app", 1200, 400, 2),
	})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	b := &balancer{daemons: s.daemons, zones: zones}
	b.watch(stop)
	var work sync.WaitGroup
	terms := &terms{at: make(map[string]time.Time)}
	if e.trouble {
		work.Go(func() { roll(e, rollOrder(s.daemons, zones), stop, terms) })
	}
	var results results
	for _, z := range zones {
		clients := make([]*client, zoneClients)
		for i := range clients {
			clients[i] = &client{}
		}
		for _, k := range kinds {
			work.Go(func() { load(b, z, clients, k.name, k.perS, stop, &results) })
		}
	}
	time.Sleep(drainTime)
	close(stop)
	work.Wait()
	return judgeDrain(e, s, results.list, terms), nil
}

// terms are the times of the SIGTERMs by process.
type terms struct {
	mu sync.Mutex
	at map[string]time.Time
}

func process(name string, start int) string { return fmt.Sprintf("%s/%d", name, start) }

// rollOrder returns the daemons in the order in which they are stopped: two of a zone, then two of the next one, so that each zone has
// one that stays, another one each time.
func rollOrder(daemons []*daemon, zones []string) []*daemon {
	own := make(map[string][]*daemon)
	for _, d := range daemons {
		own[d.zone] = append(own[d.zone], d)
	}
	var order []*daemon
	for n := range daemons {
		if n%2 == 1 {
			continue
		}
		for _, z := range zones {
			order = append(order, own[z][n%len(own[z])], own[z][(n+1)%len(own[z])])
		}
	}
	return order
}

// roll stops and starts the daemons in turn, one each drainGap, until stop is closed. One that is not in rotation is left out.
func roll(e *env, order []*daemon, stop <-chan struct{}, t *terms) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(drainGap):
		}
		d := order[n%len(order)]
		start, at := d.term()
		if !at.IsZero() || !d.inRotation() {
			continue
		}
		now := time.Now()
		t.mu.Lock()
		t.at[process(d.name, start)] = now
		t.mu.Unlock()
		e.note(now, "%s gets SIGTERM", process(d.name, start))
		restarts.Go(func() {
			killed, err := d.restart(grace)
			if killed || err != nil {
				e.note(time.Now(), "%s killed %v, start %v", process(d.name, start), killed, err)
			}
		})
	}
}

// results collects what clients have seen.
type results struct {
	mu   sync.Mutex
	list []result
}

// load sends requests of one kind from a zone at random times until stop is closed.
func load(b *balancer, zone string, clients []*client, kind string, perS float64, stop <-chan struct{}, out *results) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
		}
		c, m := clients[rand.IntN(len(clients))], drainMessage(kind, n)
		m.id = zone + "-" + m.id
		calls.Go(func() {
			r := call(b, zone, c, m)
			out.mu.Lock()
			defer out.mu.Unlock()
			out.list = append(out.list, r)
		})
	}
}

// call sends a request on the kept connection of a client, or on a new one.
func call(b *balancer, zone string, c *client, m message) result {
	if k := c.take(); k != nil {
		if rand.IntN(5) == 0 {
			return c.send(k, m, true)
		}
		c.keep(k)
	}
	for n := 0; ; n++ {
		d := b.pick(zone)
		k, err := dial(d)
		if err == nil {
			return c.send(k, m, false)
		}
		if n == dials {
			now := time.Now()
			return result{ID: m.id, Kind: m.kind, Daemon: d.name, Sent: now, Ended: now, Err: err.Error()}
		}
	}
}

// judgeDrain returns the requests that were passed on to a replica and whose connection ended without a whole answer after the SIGTERM of
// their daemon.
func judgeDrain(e *env, s *site, list []result, t *terms) []string {
	runs := make(map[string]run)
	for _, r := range s.replicas {
		for _, u := range r.all() {
			runs[u.ID] = u
		}
	}
	var broken []string
	counts := make(map[string]int)
	for _, r := range list {
		u, ran := runs[r.ID]
		counts[fmt.Sprintf("%s %d whole %v", r.Kind, r.Status, r.Whole)]++
		term, planned := t.at[process(r.Daemon, r.Start)]
		e.note(r.Sent, "%s sent to %s, kept %v: %d whole %v after %.3f s %s", r.ID, process(r.Daemon, r.Start), r.Kept, r.Status, r.Whole, r.Ended.Sub(r.Sent).Seconds(), r.Err)
		if ran {
			e.note(u.Start, "%s is run by %s for %.3f s, whole %v", r.ID, u.Replica, u.End.Sub(u.Start).Seconds(), u.Whole)
		}
		if r.Whole || !ran || !planned {
			continue
		}
		if r.Ended.Before(term) || r.Sent.After(term.Add(grace+time.Second)) {
			continue
		}
		if r.Sent.Before(term.Add(3*time.Second)) && u.End.After(term.Add(grace*5/6)) {
			continue // still at work in the last sixth of the time to the end
		}
		broken = append(broken, fmt.Sprintf("LOST: %s, sent %.3f s after the SIGTERM of %s, was run by %s from %.3f s on and cut at %.3f s: status %d, %s",
			r.ID, r.Sent.Sub(term).Seconds(), process(r.Daemon, r.Start), u.Replica, u.Start.Sub(term).Seconds(), r.Ended.Sub(term).Seconds(), r.Status, r.Err))
	}
	for k, n := range counts {
		e.note(time.Now(), "count %s: %d", k, n)
	}
	e.note(time.Now(), "stops: %d", len(t.at))
	return broken
}
