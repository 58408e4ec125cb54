package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	twiceTime = 80 * time.Second
	// goesOn is how long the replica before may work on a request that goes on at another one.
	goesOn = 400 * time.Millisecond
	// preempted is the share of the streams that a replica preempts once.
	preempted = 0.3
	// readPerMs is the number of prompt tokens that a decode replica reads again in a millisecond.
	readPerMs = 16.7
)

// newModelReplicas starts one prefill and two decode replicas in each zone.
func newModelReplicas(zones []string) ([]*replica, error) {
	var list []*replica
	for _, z := range zones {
		for k, stage := range []string{"prefill", "decode", "decode"} {
			r, err := newReplica(fmt.Sprintf("i-llm-%s-%d", z, k), "llm", z, stage, 64, 24)
			if err != nil {
				return nil, err
			}
			list = append(list, r)
		}
	}
	return list, nil
}

// loser decides which answers are lost.
type loser struct {
	mu      sync.Mutex
	servers map[string]bool // replicas that lose answers now
	share   float64         // of the answers
}

func (l *loser) loses(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[id] && rand.Float64() < l.share
}

// set chooses the replicas that lose answers from now on.
func (l *loser) set(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = make(map[string]bool)
	for _, id := range ids {
		l.servers[id] = true
	}
}

// spans are the times in which a replica has worked on a request.
type spans struct {
	mu   sync.Mutex
	work map[*run][]time.Time // moments at which it did
}

// add records that a replica works on a request now.
func (s *spans) add(u *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work[u] = append(s.work[u], time.Now())
}

// decode answers a request as a decode replica does. The replica may preempt the request once, from the event on that its lease does not
// cover (the prompt and a quarter of the output at most), and then reads its prompt again. If the answer is lost, the replica works on to
// its end and sends nothing.
func (s *spans) decode(r *replica, w http.ResponseWriter, req *http.Request, u *run, lost bool) {
	first, last := firstEvent(req), events(req)
	in, out := tokens(req)
	preempt := 0
	if covered := (out/4+16)/stride + 2; first == 1 && covered <= last && rand.Float64() < preempted {
		preempt = covered + rand.IntN(last-covered+1)
	}
	w.Header().Set(sealHeader, "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := first; n <= last; n++ {
		if n == preempt {
			if !sleep(req, 1700*time.Millisecond+rand.N(700*time.Millisecond)) || !s.works(req, u, time.Duration(float64(in+n*stride)/readPerMs*float64(time.Millisecond))) {
				r.end(u, false)
				return
			}
		}
		if !s.works(req, u, stride*tokenTime) {
			r.end(u, false)
			return
		}
		if lost {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, u.ID, n); err != nil || rc.Flush() != nil {
			r.end(u, false)
			return
		}
	}
	r.end(u, true)
	if lost {
		<-req.Context().Done() // the answer never comes
	}
}

// works lets the replica work for a time, and reports whether the caller is still there.
func (s *spans) works(req *http.Request, u *run, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !sleep(req, min(tokenTime, time.Until(end))) {
			return false
		}
		s.add(u)
	}
	return true
}

// twiceCase lets replicas lose answers and checks that no request goes on at a replica while the one before works on it.
func twiceCase(e *env) ([]string, error) {
	zones, regions := []string{"sierra-a", "sierra-b", "costa-a"}, []string{"sierra", "sierra", "costa"}
	replicas, err := newModelReplicas(zones)
	if err != nil {
		return nil, err
	}
	lost := &loser{share: 0.3}
	work := &spans{work: make(map[*run][]time.Time)}
	var decodes []string
	for _, r := range replicas {
		if r.stage == "decode" {
			decodes = append(decodes, r.id)
		}
		r.onDecode = func(r *replica, w http.ResponseWriter, req *http.Request, u *run) bool {
			lose := lost.loses(r.id)
			if lose {
				e.note(time.Now(), "%s at %s: its answer is lost", u.ID, r.id)
			}
			work.decode(r, w, req, u, lose)
			return true
		}
	}
	stream := route("r-stream", "/stream/", "streaming", "llm", 14000, 900, 2)
	stream["resumable"] = true
	s, err := newSite(e, zones, regions, 1, false, replicas, []map[string]any{stream})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	b := &balancer{daemons: s.daemons, zones: zones}
	b.watch(stop)
	var calls sync.WaitGroup
	var results results
	for _, z := range zones {
		clients := make([]*client, zoneClients)
		for i := range clients {
			clients[i] = &client{}
		}
		calls.Go(func() { load(b, z, clients, "stream", 4, stop, &results) })
	}
	for end := time.Now().Add(twiceTime); time.Now().Before(end); time.Sleep(6 * time.Second) {
		if !e.trouble {
			continue
		}
		rand.Shuffle(len(decodes), func(i, j int) { decodes[i], decodes[j] = decodes[j], decodes[i] })
		lost.set(decodes[:3]...)
		e.note(time.Now(), "replicas lose a share of their answers: %v", decodes[:3])
	}
	close(stop)
	calls.Wait()
	return judgeTwice(e, s, results.list, work), nil
}

// judgeTwice returns the requests on which a replica worked later than goesOn after they went on at the next one.
func judgeTwice(e *env, s *site, list []result, w *spans) []string {
	counts := make(map[string]int)
	for _, r := range list {
		counts[fmt.Sprintf("%d whole %v", r.Status, r.Whole)]++
		e.note(r.Sent, "%s sent to %s: %d whole %v after %.3f s %s", r.ID, r.Daemon, r.Status, r.Whole, r.Ended.Sub(r.Sent).Seconds(), r.Err)
	}
	byID := make(map[string][]*run)
	for _, r := range s.replicas {
		r.mu.Lock()
		for _, u := range r.runs {
			byID[u.ID] = append(byID[u.ID], u)
		}
		r.mu.Unlock()
	}
	var broken []string
	for id, runs := range byID {
		slices.SortFunc(runs, func(a, b *run) int { return a.Start.Compare(b.Start) })
		for i, u := range runs {
			e.note(u.Start, "%s is run by %s for %.3f s, whole %v", id, u.Replica, u.End.Sub(u.Start).Seconds(), u.Whole)
			if i == 0 {
				continue
			}
			counts["went on"]++
			p := runs[i-1]
			work, next := w.work[p], w.work[u]
			if len(work) == 0 || len(next) == 0 {
				continue
			}
			if late := work[len(work)-1].Sub(next[0]); late > goesOn {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s at %.3f s, and %s worked on it until %.3f s, %.3f s later",
					id, u.Replica, next[0].Sub(e.begin).Seconds(), p.Replica, work[len(work)-1].Sub(e.begin).Seconds(), late.Seconds()))
			}
		}
	}
	for k, n := range counts {
		e.note(time.Now(), "count %s: %d", k, n)
	}
	slices.Sort(broken)
	return broken
}
