package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["beside"] = beside }

const (
	// overlap is how long the replica before may go on once another one works on the request.
	overlap = 400 * time.Millisecond
	// waiting is how long a preempted run waits for memory, and reading how long the replica then reads its prompt again.
	waiting = 1900 * time.Millisecond
	reading = 500 * time.Millisecond
	// busyFirst is the time from the first token to the first event at a replica that reads prompts of others in between: 13 tokens
	// of 22 ms and three pieces of 1,024 tokens of 61 ms.
	busyFirst = 470 * time.Millisecond
)

// crowded is the stream of a replica with many requests. If preempts is set, one that it runs from its beginning is preempted.
func crowded(preempts bool) func(p *replica, w http.ResponseWriter, q *http.Request, x *run) bool {
	return func(p *replica, w http.ResponseWriter, q *http.Request, x *run) bool {
		const events = 12
		if !send(w, "") { // the header goes out with the first token
			return false
		}
		for n := firstEvent(q); n <= events; n++ {
			pause := 250 * time.Millisecond
			switch {
			case n == firstEvent(q) && n > 1:
				pause = busyFirst
			case n == 5 && preempts:
				p.log.add("%s: preempts %s", p.id, x.id)
				if !wait(q, waiting) {
					return false
				}
				p.log.add("%s: has memory again, and reads the prompt of %s again", p.id, x.id)
				pause = reading + 250*time.Millisecond
			}
			if !wait(q, pause) || !send(w, event(x.id, n)) {
				return false
			}
		}
		return true
	}
}

// beside sends resumable streams, which are preempted in their middle.
func beside(s *setup) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	for _, r := range [][4]string{
		{"i-p1", modelName, "sierra-a", "prefill"}, {"i-d1", modelName, "sierra-a", "decode"}, {"i-d2", modelName, "sierra-b", "decode"}, {"i-d3", modelName, "sierra-a", "decode"},
	} {
		p, err := s.addReplica(r[0], r[1], r[2], r[3])
		if err != nil {
			return false, err
		}
		p.stream = crowded(s.trouble)
	}
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep((contactMs + 1000) * time.Millisecond) // all machines are in touch
	const streams = 6
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			c, err := dial(s.log, s.daemons[i%3].front)
			if err != nil {
				errs <- err
				return
			}
			defer c.close()
			id := fmt.Sprintf("stream-%d", i)
			r := streamRequest(id, i)
			r.path = "/fit/" + id
			c.do(r)
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return false, err
	default:
	}
	time.Sleep(time.Second)
	broken := false
	for i := range streams {
		list := s.runs.of(fmt.Sprintf("stream-%d", i))
		for j, x := range list {
			for _, before := range list[:j] {
				if both := before.ended.Sub(x.begun); both > overlap {
					broken = true
					s.log.add("TWICE: stream-%d ran at %s and at %s for %.3f s", i, before.replica, x.replica, both.Seconds())
				}
			}
		}
	}
	return broken, nil
}
