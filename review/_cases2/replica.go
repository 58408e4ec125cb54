package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	idHeader          = "Wasabidock-Attempt-Id"
	sealHeader        = "Wasabidock-Server-Seal"
	notExecutedHeader = "Wasabidock-Not-Executed"
)

// run is a request that a replica has worked on.
type run struct {
	ID, Replica string
	Start, End  time.Time // End is zero while it runs
	Whole       bool      // the whole answer was written
}

// replica is a backend server: a plain one, or one that prefills or decodes.
type replica struct {
	id, service, zone, stage, addr string
	slots, queue                   int
	// hooks of a case, nil for a sound replica.
	onPrefill func(r *replica, w http.ResponseWriter, req *http.Request) bool
	onDecode  func(r *replica, w http.ResponseWriter, req *http.Request, u *run) bool

	places chan struct{} // slots and places of the queue
	work   chan struct{} // slots

	mu    sync.Mutex
	runs  []*run
	serie int
}

// newReplica starts a replica on a free loopback port.
func newReplica(id, service, zone, stage string, slots, queue int) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, stage: stage, addr: l.Addr().String(), slots: slots, queue: queue,
		places: make(chan struct{}, slots+queue), work: make(chan struct{}, slots),
	}
	go func() { _ = (&http.Server{Handler: r}).Serve(l) }() // it ends with the process
	return r, nil
}

// entry returns the value that the replica writes into the store.
func (r *replica) entry(state string) []byte {
	v := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0, "seq": 1,
		"born": 1780297896000,
	}
	if r.stage != "" {
		v["stage"], v["models"] = r.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values are those above
	}
	return b
}

// name returns a new name of a handle or a lease.
func (r *replica) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serie++
	return fmt.Sprintf("%08x%04x", rand.Uint32(), r.serie)
}

// begin records that a run begins.
func (r *replica) begin(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := &run{ID: id, Replica: r.id, Start: time.Now()}
	r.runs = append(r.runs, u)
	return u
}

// end records the end of a run.
func (r *replica) end(u *run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.End, u.Whole = time.Now(), whole
}

// all returns copies of the runs.
func (r *replica) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]run, len(r.runs))
	for i, u := range r.runs {
		list[i] = *u
	}
	return list
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	switch {
	case req.URL.Path == "/api/report":
		writeJSON(w, map[string]any{"stage": r.stage, "busy": false, "seq": 1, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 42754, "kvHandles": 0})
		return
	case req.URL.Path == "/api/hold-take":
		writeJSON(w, map[string]any{"hold": r.name()})
		return
	case req.Method == http.MethodDelete && strings.HasPrefix(req.URL.Path, "/api/"):
		writeJSON(w, map[string]any{})
		return
	}
	w.Header().Set(idHeader, req.Header.Get(idHeader))
	if e := req.Header.Get("Wasabidock-Expect-Instance"); e != "" && e != r.id {
		w.Header().Set("Wasabidock-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	default:
		r.reject(w)
		return
	}
	select {
	case r.work <- struct{}{}:
		defer func() { <-r.work }()
	case <-req.Context().Done():
		return
	}
	switch {
	case r.stage == "":
		r.servePlain(w, req)
	case req.Header.Get("Wasabidock-Stage") == "prefill":
		r.servePrefill(w, req)
	case r.stage == "prefill":
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		r.serveDecode(w, req)
	}
}

// reject answers a request that the replica has no place for.
func (r *replica) reject(w http.ResponseWriter) {
	w.Header().Set(notExecutedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sleep waits, and reports whether the caller is still there.
func sleep(req *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

// plainWork draws the time that a plain request takes: 112 ms in the mean, spread by a twelfth.
func plainWork() time.Duration {
	ms := 112 * math.Exp(0.08*rand.NormFloat64())
	return time.Duration(min(ms, 450) * float64(time.Millisecond))
}

func (r *replica) servePlain(w http.ResponseWriter, req *http.Request) {
	u := r.begin(req.Header.Get(idHeader))
	if !sleep(req, plainWork()) {
		r.end(u, false)
		return
	}
	w.Header().Set(sealHeader, "seal-"+r.id)
	w.Header().Set("Content-Length", "800")
	r.end(u, true)
	_, _ = io.WriteString(w, strings.Repeat("p", 800)) // the caller may have left
}

// tokens returns the two numbers of Wasabidock-Token-Count.
func tokens(req *http.Request) (in, out int) {
	a, b, _ := strings.Cut(req.Header.Get("Wasabidock-Token-Count"), ",")
	in, _ = strconv.Atoi(a)  // requests of this program have both
	out, _ = strconv.Atoi(b) // numbers
	return in, out
}

func (r *replica) servePrefill(w http.ResponseWriter, req *http.Request) {
	if r.onPrefill != nil && r.onPrefill(r, w, req) {
		return
	}
	in, _ := tokens(req)
	if sleep(req, time.Duration(float64(in)/33.3*float64(time.Millisecond))) {
		writeJSON(w, map[string]any{"kvHandle": r.name(), "tokens": in, "version": 1})
	}
}

// stride is the number of tokens of an event, and tokenTime the time that one takes.
const (
	stride    = 13
	tokenTime = 5 * time.Millisecond
)

func (r *replica) serveDecode(w http.ResponseWriter, req *http.Request) {
	u := r.begin(req.Header.Get(idHeader))
	if r.onDecode != nil && r.onDecode(r, w, req, u) {
		return
	}
	r.stream(w, req, u, firstEvent(req), tokenTime)
}

// firstEvent returns the number of the first event of a response.
func firstEvent(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return n + 1
}

// events returns the number of events of the answer to a request.
func events(req *http.Request) int {
	_, out := tokens(req)
	return (out + stride - 1) / stride
}

// stream sends the events of a response from number first on.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, u *run, first int, token time.Duration) {
	w.Header().Set(sealHeader, "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := first; n <= events(req); n++ {
		if !sleep(req, stride*token) {
			r.end(u, false)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, u.ID, n); err != nil || rc.Flush() != nil {
			r.end(u, false)
			return
		}
	}
	r.end(u, true)
}
