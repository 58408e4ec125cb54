package proxy

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

const (
	// maxResponseBytes bounds a response that is buffered whole before it is passed on.
	// maxControlBytes bounds the response to a request that the router itself creates.
	maxResponseBytes = 4 << 20
	maxControlBytes  = 64 << 10
	// lateDeviations is the number of mean deviations by which a usual response time may
	// exceed the mean.
	lateDeviations = 4
	// noServerRetry is the Retry-After while no server is known.
	noServerRetry = 500 * time.Millisecond
	// overloadRetry is the Retry-After when all servers were full.
	overloadRetry = 400 * time.Millisecond
)

// errUnsealed reports a successful response without the seal header of the server.
var errUnsealed = errors.New("response has no seal")

// serverLoads counts the requests that this instance has in flight at plain servers, by
// server key.
type serverLoads struct {
	mu sync.Mutex
	n  map[string]int
}

func newServerLoads() serverLoads { return serverLoads{n: make(map[string]int)} }

func (l *serverLoads) add(key string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n[key] += n; l.n[key] == 0 {
		delete(l.n, key)
	}
}

// keys returns the keys of the servers that are not at 0.
func (l *serverLoads) keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.n))
}

func (l *serverLoads) of(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n[key]
}

// noServerLeft is the reason of requests for which there is no server, or no other one.
func (x *exchange) noServerLeft() string { return "no server of " + x.service.Name + " is left to try" }

// recordNoResponse records an attempt that ended without a response.
func (x *exchange) recordNoResponse(s *route.Server, err error) {
	x.countNoResponse(s, err)
	x.recordError(s, err)
}

// countNoResponse is recordNoResponse without the failure of the server.
func (x *exchange) countNoResponse(s *route.Server, err error) {
	notRun := fail.Outcome(err) == ident.NotRun
	if notRun {
		x.arrivals.uncount()
	}
	if notRun && fail.IsLocal(err) {
		return
	}
	x.h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: no answer")
	if !notRun {
		x.recordWrite(s)
		x.mayHaveRun = true
		x.runs.Add(1)
	}
}

// recordWrite records that the request was written to a server.
func (x *exchange) recordWrite(s *route.Server) {
	x.writes++
	x.h.cfg.Meter.Count("writes_by_distance_total", "distance", x.h.distance(s).String(), 1)
	if !x.placed() {
		x.servers = append(x.servers, s.ID)
	}
}

// release reads the rest of a response that is not passed on, so that its connection can be
// reused.
func (x *exchange) release(resp *link.Response) {
	// A read error is ignored, because Close then closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes))
}

// bufferResponse reads the body of a response to its end. Its memory counts until the request ends, because it may be saved.
func (x *exchange) bufferResponse(resp *link.Response) ([]byte, error) {
	return x.memory.ReadAll(resp.Body, resp.Length(), maxResponseBytes)
}

// readControl reads the body of the response to a request that the router itself created.
func (x *exchange) readControl(resp *link.Response) ([]byte, error) {
	a := x.h.cfg.Memory.Account()
	defer a.Free() // it is parsed at once
	return a.ReadAll(resp.Body, resp.Length(), maxControlBytes)
}

// response is the buffered response of a server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse writes a buffered response to the caller.
func (x *exchange) writeResponse(resp *response) {
	x.copyHeader(resp.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.headerWritten, x.status, x.complete = true, resp.status, true
	x.summary = "answered " + strconv.Itoa(resp.status)
	x.w.WriteHeader(resp.status)
	_, _ = x.w.Write(resp.body) // fails only if the caller has disconnected
}
