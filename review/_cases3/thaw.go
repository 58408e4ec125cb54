package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["thaw"] = thaw }

const (
	// frozenFor is how long a daemon stands still, and betweenFreezes the time from its wake to the freeze of the next one.
	frozenFor      = 3500 * time.Millisecond
	betweenFreezes = 500 * time.Millisecond
	// sideService is a service with a model and without an `engine` in the configuration, like the second one of the example.
	sideService = "small-llm"
	perDaemon   = 6 // requests on each route
	// withoutCount stands for the first route of streams, with requests that do not name their tokens.
	withoutCount = "/fit/x/"
)

// brief answers with three events.
func brief(_ *replica, w http.ResponseWriter, q *http.Request, x *run) bool {
	for n := firstEvent(q); n <= 3; n++ {
		if !wait(q, 30*time.Millisecond) || !send(w, event(x.id, n)) {
			return false
		}
	}
	return true
}

// withSideRoute returns a later version of the configuration, to which a route is added.
func withSideRoute(version int64) map[string]any {
	c := config(version)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "dossier-brief", "host": host, "pathPrefix": "/brief/", "kind": "streaming", "service": sideService, "maxAttempts": 2, "timeoutMs": 14000,
		"sloMs": 900, "priority": 1, "sticky": true, "resumable": true, "gapTargetMs": 300,
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": sideService, "healthPath": "/healthz", "maxConns": 110})
	return c
}

// thaw freezes each daemon once, one after the other, adds a route when all are in touch again, and compares how often it is
// served with how often the first routes are.
func thaw(s *setup) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	for i, r := range [][4]string{
		{"i-p1", modelName, "sierra-a", "prefill"}, {"i-d1", modelName, "sierra-a", "decode"}, {"i-d2", modelName, "sierra-b", "decode"},
		{"i-a1", appName, "sierra-a", ""}, {"i-a2", appName, "sierra-b", ""},
		{"i-s1", sideService, "sierra-a", ""}, {"i-s2", sideService, "sierra-b", ""}, {"i-s3", sideService, "costa-a", ""},
	} {
		p, err := s.addReplica(r[0], r[1], r[2], r[3])
		if err != nil {
			return false, err
		}
		p.stream = brief
		if i >= 5 {
			p.work = brief
		}
	}
	if err := s.startDaemons(8); err != nil {
		return false, err
	}
	time.Sleep((contactMs + 1000) * time.Millisecond) // all machines are in touch
	for _, d := range s.daemons {
		if s.trouble {
			d.signal(syscall.SIGSTOP)
		}
		time.Sleep(frozenFor)
		if s.trouble {
			d.signal(syscall.SIGCONT)
		}
		time.Sleep(betweenFreezes)
	}
	time.Sleep((contactMs + 1000) * time.Millisecond) // all machines are in touch again
	for _, d := range s.daemons {
		if !d.isReady() {
			return false, fmt.Errorf("%s is not ready", d.name)
		}
	}
	s.store.put("op/config", withSideRoute(9))
	s.log.add("store: accepts version 9 of the configuration, which adds the route /brief/")
	time.Sleep((configApplyMs + 1000) * time.Millisecond)
	first, err := s.ask("/fit/")
	if err != nil {
		return false, err
	}
	reads, err := s.ask("/status/")
	if err != nil {
		return false, err
	}
	added, err := s.ask("/brief/")
	if err != nil {
		return false, err
	}
	plain, err := s.ask(withoutCount)
	if err != nil {
		return false, err
	}
	n := perDaemon * len(s.daemons)
	s.log.add("served of %d each: %d on the first route of streams, %d reads, %d on the route that was added", n, first, reads, added)
	s.log.add("served of %d, beside the verdict: %d on the first route of streams without Wasabidock-Token-Count", n, plain)
	if first < n*9/10 {
		return false, fmt.Errorf("the first route is served too seldom to compare with: %d of %d", first, n)
	}
	if broken := added*4 < first; broken {
		s.log.add("CONFIG: the route that was added is served less than a quarter as often as the first ones")
		return true, nil
	}
	return false, nil
}

// ask sends requests under a prefix to all daemons and returns how many were served.
func (s *setup) ask(prefix string) (served int, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for di, d := range s.daemons {
		wg.Go(func() {
			for i := range perDaemon {
				c, e := dial(s.log, d.front)
				if e != nil {
					mu.Lock()
					err = e
					mu.Unlock()
					return
				}
				id := fmt.Sprintf("%s%d-%d", strings.ReplaceAll(prefix[1:], "/", "-"), di, i)
				r := streamRequest(id, i)
				r.path = prefix + id
				if prefix == withoutCount {
					r.headers = slices.DeleteFunc(r.headers, func(h string) bool { return strings.HasPrefix(h, headerTokens) })
				}
				if prefix == "/status/" {
					r = request{method: "GET", host: host, path: prefix + id, id: id, key: key, deadline: 2500 * time.Millisecond}
				}
				a := c.do(r)
				c.close()
				if a.whole && a.status == http.StatusOK && a.header.Get(headerSeal) != "" {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return served, err
}
