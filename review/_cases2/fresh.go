package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	freshRounds = 6
	// freshAge is the time from the readiness of a process to its SIGTERM.
	freshAge = 2 * time.Second
	// freshGap is the pause between the stops of two daemons.
	freshGap = 2 * time.Second
	// freshToken is the time of a token at a loaded replica: an event of 13 tokens takes 299 ms, less than the longest pause that the route
	// asks for.
	freshToken = 23 * time.Millisecond
	// freshOutput is the number of tokens of a stream.
	freshOutput = 156
)

// freshSends are the times from the SIGTERM at which clients send streams on kept connections.
var freshSends = []time.Duration{
	600 * time.Millisecond, 900 * time.Millisecond, 3100 * time.Millisecond, 3400 * time.Millisecond, 3700 * time.Millisecond, 3850 * time.Millisecond,
}

// freshCase stops daemons soon after their start, and checks that no stream is cut by that.
func freshCase(e *env) ([]string, error) {
	zones, regions := []string{"sierra-a", "sierra-b", "costa-a"}, []string{"sierra", "sierra", "costa"}
	models, err := newModelReplicas(zones)
	if err != nil {
		return nil, err
	}
	for _, r := range models {
		r.onDecode = func(r *replica, w http.ResponseWriter, req *http.Request, u *run) bool {
			r.stream(w, req, u, firstEvent(req), freshToken)
			return true
		}
	}
	plain, err := newPlainReplicas(zones, 1)
	if err != nil {
		return nil, err
	}
	s, err := newSite(e, zones, regions, 1, false, append(models, plain...), []map[string]any{
		route("r-stream", "/stream/", "streaming", "llm", 14000, 900, 2), route("r-status", "/status/", "idempotent", "app", 1200, 400, 2),
	})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	t := &terms{at: make(map[string]time.Time)}
	var results results
	for n := range freshRounds {
		var round sync.WaitGroup
		for i, d := range s.daemons {
			round.Go(func() {
				time.Sleep(time.Duration(i) * freshGap)
				freshRound(e, d, n, t, &results)
			})
		}
		round.Wait()
	}
	return judgeDrain(e, s, results.list, t), nil
}

// freshRound opens connections to a daemon that has just started, stops it, and sends streams on them.
func freshRound(e *env, d *daemon, n int, t *terms, out *results) {
	for !d.isReady() {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(freshAge)
	list := make([]*client, len(freshSends))
	for i := range list {
		list[i] = &client{}
		k, err := dial(d)
		if err != nil {
			e.note(time.Now(), "%s: %v", d.name, err)
			return
		}
		m := drainMessage("status", n)
		m.id = fmt.Sprintf("%s-%d-%s", d.name, i, m.id)
		out.add(list[i].send(k, m, false))
	}
	start, _ := d.term()
	begin := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !e.trouble {
			return
		}
		t.mu.Lock()
		t.at[process(d.name, start)] = begin
		t.mu.Unlock()
		e.note(begin, "%s gets SIGTERM", process(d.name, start))
		if killed, err := d.restart(grace); killed || err != nil {
			e.note(time.Now(), "%s killed %v, start %v", process(d.name, start), killed, err)
		}
	}()
	var calls sync.WaitGroup
	for i, at := range freshSends {
		calls.Go(func() {
			time.Sleep(time.Until(begin.Add(at)))
			k := list[i].take()
			if k == nil {
				return
			}
			m := drainMessage("stream", n)
			m.id = fmt.Sprintf("%s-%d-%s", d.name, i, m.id)
			h := slices.IndexFunc(m.header, func(h string) bool { return len(h) > 23 && h[:23] == "Wasabidock-Token-Count:" })
			m.header[h] = fmt.Sprintf("Wasabidock-Token-Count: 3000,%d", freshOutput)
			out.add(list[i].send(k, m, true))
		})
	}
	calls.Wait()
	<-ended
}

// add adds what a client has seen.
func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}
