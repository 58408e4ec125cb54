package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["withheld"] = withheld }

// patience is how long a client waits for the next event: four times the objective of 900 ms.
const patience = 3600 * time.Millisecond

// withheld adds a route and compares how often its streams are served with how often those of the first route are.
func withheld(s *setup) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	for _, r := range [][4]string{
		{"i-p1", modelName, "sierra-a", "prefill"}, {"i-d1", modelName, "sierra-a", "decode"}, {"i-d2", modelName, "sierra-b", "decode"},
		{"i-a1", appName, "sierra-a", ""}, {"i-s1", sideService, "sierra-a", ""}, {"i-s2", sideService, "sierra-b", ""}, {"i-s3", sideService, "costa-a", ""},
	} {
		p, err := s.addReplica(r[0], r[1], r[2], r[3])
		if err != nil {
			return false, err
		}
		p.stream = onTime
		if r[1] == sideService {
			p.work = func(p *replica, w http.ResponseWriter, q *http.Request, x *run) bool {
				w.Header().Set("Content-Type", "text/event-stream")
				return onTime(p, w, q, x)
			}
		}
	}
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	time.Sleep((contactMs + 1000) * time.Millisecond) // all machines are in touch
	prefixes := []string{"/fit/"}
	if s.trouble {
		s.store.put("op/config", withSideRoute(9))
		s.log.add("store: accepts version 9 of the configuration, which adds the route /brief/")
		prefixes = append(prefixes, "/brief/")
	}
	time.Sleep((configApplyMs + 1000) * time.Millisecond)
	const streams = 24
	served := make(map[string]int)
	for _, prefix := range prefixes {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range streams {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				id := fmt.Sprintf("%s-%d", prefix[1:4], i)
				r := streamRequest(id, i%10)
				r.path = prefix + id
				if s.read(s.daemons[i%3].front, r) {
					mu.Lock()
					served[prefix]++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		whole := 0
		for i := range streams {
			for _, x := range s.runs.of(fmt.Sprintf("%s-%d", prefix[1:4], i)) {
				if x.whole {
					whole++
				}
			}
		}
		s.log.add("%s: %d of %d served; their replicas ran %d to the end", prefix, served[prefix], streams, whole)
	}
	if served["/fit/"] < streams*9/10 {
		return false, fmt.Errorf("the first route is served too seldom to compare with")
	}
	return s.trouble && served["/brief/"]*4 < served["/fit/"], nil
}

// read sends a request for a stream and reads it as a client does, which leaves after a gap of its patience. It reports whether
// the whole stream came.
func (s *setup) read(addr string, r request) bool {
	c, err := dial(s.log, addr)
	if err != nil {
		return false
	}
	defer c.close()
	start := time.Now()
	s.log.add("client: sends %s as %s to %s", r.path, r.id, addr)
	_ = c.conn.SetDeadline(start.Add(patience))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		s.log.add("client: %s: leaves after %.3f s without an answer", r.id, time.Since(start).Seconds())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	b, got := make([]byte, 4096), 0
	for {
		_ = c.conn.SetDeadline(time.Now().Add(patience))
		n, err := resp.Body.Read(b)
		got += n
		switch {
		case err == io.EOF:
			s.log.add("client: %s: %d, whole, %d bytes, after %.3f s", r.id, resp.StatusCode, got, time.Since(start).Seconds())
			return resp.StatusCode == http.StatusOK
		case err != nil:
			s.log.add("client: %s: %d, not whole after %.3f s: %v", r.id, resp.StatusCode, time.Since(start).Seconds(), err)
			return false
		}
	}
}
