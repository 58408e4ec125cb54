package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica has begun to work on.
type run struct {
	id      string
	replica string
	path    string
	begun   time.Time // of its first token
	ended   time.Time // zero while it runs
	whole   bool      // the replica has sent all of its answer
}

// runs are the runs of all replicas of a case.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) begin(replica string, q *http.Request) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{id: q.Header.Get(headerAttempt), replica: replica, path: q.URL.Path, begun: time.Now()}
	r.list = append(r.list, x)
	return x
}

func (r *runs) end(x *run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ended, x.whole = time.Now(), whole
}

// of returns copies of the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.list {
		if x.id == id {
			out = append(out, *x)
		}
	}
	return out
}

// The headers that the case uses.
const (
	headerAttempt  = "Wasabidock-Attempt-Id"
	headerSeal     = "Wasabidock-Server-Seal"
	headerNotRun   = "Wasabidock-Not-Executed"
	headerExpect   = "Wasabidock-Expect-Instance"
	headerStage    = "Wasabidock-Stage"
	headerSource   = "Wasabidock-Kv-Source"
	headerTokens   = "Wasabidock-Token-Count"
	headerLast     = "Last-Event-Id"
	headerDeadline = "Wasabidock-Deadline-Ms"
)

// replica is a stand-in of a replica, with or without a model.
type replica struct {
	id, service, zone, stage, addr string
	log                            *record
	runs                           *runs
	born                           int64
	serial                         atomic.Int64
	srv                            *http.Server

	// prefillTime is how long a prompt takes to read, and stream answers a run. work answers a request without a model.
	prefillTime time.Duration
	stream      func(p *replica, w http.ResponseWriter, q *http.Request, x *run) (whole bool)
	work        func(p *replica, w http.ResponseWriter, q *http.Request, x *run) (whole bool)
}

func newReplica(log *record, all *runs, ip, id, service, zone, stage string) (*replica, error) {
	p := &replica{id: id, service: service, zone: zone, stage: stage, log: log, runs: all, born: time.Now().UnixMilli(), prefillTime: 150 * time.Millisecond}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p.addr = l.Addr().String()
	p.srv = &http.Server{Handler: p}
	go func() { _ = p.srv.Serve(l) }()
	return p, nil
}

// entry is what the replica writes to the store.
func (p *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": 64, "state": state,
		"coldLeftMs": 0, "seq": 1, "stage": p.stage, "born": p.born, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

func (p *replica) seal(q *http.Request) string { return p.id + "." + q.Header.Get(headerAttempt) }

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/api/report":
		writeJSON(w, map[string]any{"stage": p.stage, "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 34035, "kvHandles": 0, "born": p.born})
		return
	case q.URL.Path == "/healthz":
		w.Header().Set("Wasabidock-Replica-Id", p.id)
		return
	case q.URL.Path == "/api/hold-take":
		writeJSON(w, map[string]any{"hold": fmt.Sprintf("h%d-%s", p.serial.Add(1), p.id)})
		return
	case strings.HasPrefix(q.URL.Path, "/api/hold-drop/"), strings.HasPrefix(q.URL.Path, "/api/kv-handle/"):
		return
	}
	w.Header().Set(headerAttempt, q.Header.Get(headerAttempt))
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	prefill := q.Header.Get(headerStage) == "prefill"
	if e := q.Header.Get(headerExpect); e != "" && e != p.id || p.stage != "" && prefill != (p.stage == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if prefill {
		p.log.add("%s: reads the prompt of %s", p.id, q.Header.Get(headerAttempt))
		time.Sleep(p.prefillTime)
		in, _, _ := strings.Cut(q.Header.Get(headerTokens), ",")
		n, _ := strconv.Atoi(in)
		writeJSON(w, map[string]any{"kvHandle": fmt.Sprintf("k%d%s", p.serial.Add(1), p.id), "tokens": n, "version": 1})
		return
	}
	x := p.runs.begin(p.id, q)
	p.log.add("%s: begins to run %s", p.id, x.id)
	w.Header().Set(headerSeal, p.seal(q))
	whole := false
	if p.stage == "" {
		whole = p.work(p, w, q, x)
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Wasabidock-Weight-Versions", "1")
		whole = p.stream(p, w, q, x)
	}
	p.runs.end(x, whole)
	how := "whole"
	if !whole {
		how = "its caller has left"
	}
	p.log.add("%s: ends the run of %s after %.3f s: %s", p.id, x.id, x.ended.Sub(x.begun).Seconds(), how)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// firstEvent returns the ID of the event with which the answer to a request begins.
func firstEvent(q *http.Request) int {
	n, _ := strconv.Atoi(q.Header.Get(headerLast))
	return n + 1
}

// event is the text of an event.
func event(id string, n int) string {
	b, _ := json.Marshal(map[string]any{"of": id, "piece": n})
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, b)
}

// send sends a text at once.
func send(w http.ResponseWriter, text string) bool {
	if _, err := io.WriteString(w, text); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// wait waits, and returns false if the caller leaves meanwhile.
func wait(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}
