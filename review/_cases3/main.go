// Cases3 plays the cases of the third review: the router's own daemons as separate processes between stand-ins of the
// platform's store, of replicas and of clients.
//
//	target/review3 CASE DIR
//
// It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// setup is what all cases need.
type setup struct {
	log     *record
	tmp     string // folder of settings and logs
	trouble bool
	store   *store
	runs    *runs
	daemons []*daemon
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*setup) (broken bool, err error){}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE DIR")
		return 2
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &setup{log: log, trouble: os.Getenv("TROUBLE") != "0", runs: &runs{}}
	if s.tmp, err = os.MkdirTemp("", "review3-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(s.tmp) }()
	} else {
		log.add("settings and logs: %s", s.tmp)
	}
	defer s.stop()
	if !s.trouble {
		log.add("without the disruption")
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			log.add("the case couldn't run: %v", r.err)
			return 2
		case r.broken:
			log.add("the rule was broken")
			return 1
		}
		log.add("the rule held")
		return 0
	case <-time.After(limit):
		log.add("the case couldn't run: it has taken over %v", limit)
		return 2
	}
}

// stop ends all processes that the case started.
func (s *setup) stop() {
	for _, d := range s.daemons {
		d.stop()
	}
}

// startDaemons starts daemons at loopback addresses of their own, in the zones in turn.
func (s *setup) startDaemons(n int) error {
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.41.%d.%d", 1+os.Getpid()%200, 10+i))
	}
	p, err := freePorts(4, ips...)
	if err != nil {
		return err
	}
	ports := [4]int{p[0], p[1], p[2], p[3]}
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], ports[2]))
	}
	for i := range n {
		z := zones[i%len(zones)][0]
		d, err := newDaemon(s.log, s.tmp, fmt.Sprintf("edge-%s-%d", z, 1+i/len(zones)), ips[i], z, s.store.addr, seeds, ports)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := d.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// The names of the deployment.
const (
	host      = "ficu95.example"
	key       = "i9n73hh2b9wu3fexd9dn"
	tenant    = "hule930"
	modelName = "dossier-llm"
	appName   = "match-app"
)

// config is a configuration with the routes of the site andino-match.
func config(version int64) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeout, slo, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts, "timeoutMs": timeout, "sloMs": slo,
			"priority": priority,
		}
	}
	stream := func(name, prefix string, attempts int, resumable bool) map[string]any {
		r := route(name, prefix, "streaming", modelName, attempts, 14000, 900, 1)
		r["sticky"], r["gapTargetMs"], r["resumable"] = true, 300, resumable
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			stream("placement-fit", "/fit/", 2, true), stream("host-review", "/review/", 1, false),
			route("confirm-placement", "/confirm/", "mutating", appName, 1, 1200, 400, 2),
			route("status-read", "/status/", "idempotent", appName, 2, 1200, 400, 2),
		},
		"services": []any{
			map[string]any{"name": modelName, "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvTokens": 34035, "handleTtlS": 0.5, "holdMs": 2000, "tokenKvBytes": 18432, "linkMbps": 370000, "stageSwitchS": 6, "pinMs": 4000,
			}},
			map[string]any{"name": appName, "healthPath": "/healthz", "maxConns": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1, "ratePerS": 0, "burst": 0, "plainTokens": 200}},
	}
}

// startStore starts the store with the first configuration, and replicas of both services.
func (s *setup) startStore() (err error) {
	s.store, err = newStore(s.log, "127.41.0.1:0")
	if err == nil {
		s.store.put("op/config", config(3))
	}
	return err
}

// addReplica starts a replica and lists it in the store.
func (s *setup) addReplica(id, service, zone, stage string) (*replica, error) {
	p, err := newReplica(s.log, s.runs, "127.41.0.2", id, service, zone, stage)
	if err != nil {
		return nil, err
	}
	p.work, p.stream = quickAnswer, nil
	s.store.put("servers/"+id, p.entry("ready"))
	return p, nil
}

// quickAnswer answers after 20 ms.
func quickAnswer(p *replica, w http.ResponseWriter, q *http.Request, _ *run) bool {
	if !wait(q, 20*time.Millisecond) {
		return false
	}
	b := "answer of " + p.id + " to " + q.Header.Get(headerAttempt)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	return send(w, b)
}
