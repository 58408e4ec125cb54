package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late"] = late }

const (
	// outTokens is the largest number of output tokens of the site's streams, in events of 13.
	outTokens  = 170
	perEvent   = 13
	earlier    = 40                     // streams that the daemon has answered before
	firstAfter = 600 * time.Millisecond // from the run's begin to its first event; the prompt takes 150 ms more
	shortAfter = 200 * time.Millisecond
	eventPause = 270 * time.Millisecond // the route's gapTargetMs is 300
)

// onTime answers with events that come within the route's targets. The model ends the answers to short requests after one
// event.
func onTime(_ *replica, w http.ResponseWriter, q *http.Request, x *run) bool {
	events := (outTokens + perEvent - 1) / perEvent
	if strings.HasPrefix(x.id, "short") {
		events = 1
	}
	for n := firstEvent(q); n <= events; n++ {
		pause := eventPause
		switch {
		case events == 1:
			pause = shortAfter
		case n == 1:
			pause = firstAfter
		}
		if !wait(q, pause) || !send(w, event(x.id, n)) {
			return false
		}
	}
	return true
}

// streamRequest is a request on the route of streams that may run once.
func streamRequest(id string, n int) request {
	return request{
		method: "POST", host: host, path: "/review/" + id, id: id, key: key, deadline: 14 * time.Second, body: "the dossier",
		headers: []string{"Wasabidock-Model: m", fmt.Sprintf("Wasabidock-Token-Count: 3000,%d", outTokens), fmt.Sprintf("Wasabidock-Prompt-Prefix: 5c1e07a2:200,91bd3f0%d:2800", n)},
	}
}

// late sends streams on kept connections to a daemon that has received SIGTERM 3.1 to 3.9 s before, and that has answered
// a number of streams before that, which were shorter than they might have been.
func late(s *setup) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	for _, r := range [][4]string{
		{"i-p1", modelName, "sierra-a", "prefill"}, {"i-d1", modelName, "sierra-a", "decode"}, {"i-d2", modelName, "sierra-b", "decode"}, {"i-a1", appName, "sierra-a", ""},
	} {
		p, err := s.addReplica(r[0], r[1], r[2], r[3])
		if err != nil {
			return false, err
		}
		p.stream = onTime
	}
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	d := s.daemons[0]
	time.Sleep((contactMs + 1000) * time.Millisecond) // all machines are in touch
	const clients = 5
	var all []*client
	for i := range clients {
		c, err := dial(s.log, d.front)
		if err != nil {
			return false, err
		}
		defer c.close()
		a := c.do(request{method: "GET", host: host, path: fmt.Sprintf("/status/%d", i), id: fmt.Sprintf("status-%d", i), key: key, deadline: 2500 * time.Millisecond})
		if a.status != http.StatusOK || !a.whole {
			return false, fmt.Errorf("a status read was not answered: %s", a)
		}
		all = append(all, c)
	}
	for i := range earlier {
		a := all[i%clients].do(streamRequest(fmt.Sprintf("short-%d", i), i%10))
		if a.status != http.StatusOK || !a.whole {
			return false, fmt.Errorf("an earlier stream was not answered: %s", a)
		}
	}
	// One more stream is in progress when SIGTERM comes.
	before, err := dial(s.log, d.front)
	if err != nil {
		return false, err
	}
	defer before.close()
	var wg sync.WaitGroup
	wg.Go(func() { before.do(streamRequest("before", 9)) })
	time.Sleep(300 * time.Millisecond)
	begin := time.Now()
	if s.trouble {
		d.signal(syscall.SIGTERM)
	}
	answers := make([]answer, clients)
	sent := make([]time.Time, clients)
	for i, c := range all {
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(3100*time.Millisecond + time.Duration(i)*200*time.Millisecond)))
			sent[i] = time.Now()
			answers[i] = c.do(streamRequest(fmt.Sprintf("stream-%d", i), i))
		})
	}
	wg.Wait()
	broken := false
	for i, a := range answers {
		ran := len(s.runs.of(fmt.Sprintf("stream-%d", i))) > 0
		switch {
		case a.whole:
		case ran:
			broken = true
			s.log.add("LOST: stream-%d, sent %.3f s after SIGTERM, was passed on to a sound replica, and its answer was cut", i, sent[i].Sub(begin).Seconds())
		default:
			s.log.add("stream-%d was not passed on, which doesn't count", i)
		}
	}
	return broken, nil
}
