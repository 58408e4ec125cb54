// Package stand holds small stand-ins of the systems that the router meets:
// engines, plain services and the platform's configuration service.
package stand

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Timer  tick.Clock
	Budget int           // calls per second, 0 for no limit
	Lag    time.Duration // time until a change of a list is visible
}

// Platform is a stand-in of the platform's configuration service. It has values with
// revisions that can be read and watched, a limit on calls, outages and stale
// responses. It is an http.Handler with control handlers under /control/.
type Platform struct {
	cfg PlatformConfig

	mu     sync.Mutex
	values map[string]*platformValue
	down   bool
	stale  int // number of versions by which responses are stale
	second time.Duration
	spent  int
	counts PlatformCounts
	wake   chan struct{} // closed and replaced at each change
}

// PlatformCounts counts the calls that a Platform received.
type PlatformCounts struct {
	Calls   int `json:"calls"`
	Refused int `json:"refused"` // calls over the limit
	Peak    int `json:"peak"`    // maximum number of calls in one second
}

type platformValue struct {
	versions [][]byte       // nil for the oldest ones, which are removed
	visible  []tick.Instant // time at which each version becomes visible
}

// maxPlatformVersions is the maximum number of versions that are kept of a value.
const maxPlatformVersions = 16

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{cfg: cfg, values: make(map[string]*platformValue), wake: make(chan struct{})}
}

// Put publishes a value. Changes of the lists of instances and servers become
// visible after the lag.
func (p *Platform) Put(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[name]
	if !ok {
		v = &platformValue{}
		p.values[name] = v
	}
	at := p.cfg.Timer.Now()
	if !strings.HasPrefix(name, "table/") {
		at += p.cfg.Lag
	}
	v.versions = append(v.versions, append([]byte{}, data...))
	v.visible = append(v.visible, at)
	if n := len(v.versions) - maxPlatformVersions; n > 0 {
		v.versions[n-1] = nil
	}
	p.changed()
}

// SetDown starts or ends an outage, in which every call gets status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.changed()
}

// SetStale makes all responses stale by the given number of versions.
func (p *Platform) SetStale(versions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = versions
	p.changed()
}

// SetBudget sets the maximum number of calls per second.
func (p *Platform) SetBudget(calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Budget = calls
}

// Counts returns the present counters.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ResetCounts sets the counters to zero.
func (p *Platform) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts = PlatformCounts{}
}

func (p *Platform) changed() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// ServeHTTP serves reads, watches and control calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/value/"):
		p.serveRead(w, strings.TrimPrefix(r.URL.Path, "/v1/value/"))
	case strings.HasPrefix(r.URL.Path, "/v1/watch/"):
		p.serveWatch(w, r, strings.TrimPrefix(r.URL.Path, "/v1/watch/"))
	case strings.HasPrefix(r.URL.Path, "/control/"):
		p.serveControl(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, name string) {
	if status := p.admit(); status != 0 {
		w.WriteHeader(status)
		return
	}
	data, revision, _ := p.look(name)
	if revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeValue(w, data, revision)
}

func writeValue(w http.ResponseWriter, data []byte, revision uint64) {
	w.Header().Set("Revision", strconv.FormatUint(revision, 10))
	_, _ = w.Write(data)
}

// admit counts a call. It returns the status with which the call must be rejected,
// or zero.
func (p *Platform) admit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if second := p.cfg.Timer.Now().Truncate(time.Second); second != p.second {
		p.second = second
		p.spent = 0
	}
	p.spent++
	p.counts.Calls++
	p.counts.Peak = max(p.counts.Peak, p.spent)
	if p.down {
		return http.StatusServiceUnavailable
	}
	if p.cfg.Budget > 0 && p.spent > p.cfg.Budget {
		p.counts.Refused++
		return http.StatusTooManyRequests
	}
	return 0
}

// look returns the visible version of a value and its revision, which is zero if
// there is none, and a channel that is closed at the next change.
func (p *Platform) look(name string) ([]byte, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[name]
	if !ok {
		return nil, 0, p.wake
	}
	now := p.cfg.Timer.Now()
	n := 0
	for n < len(v.versions) && v.visible[n] <= now {
		n++
	}
	if n > 0 {
		n = max(n-p.stale, 1)
	}
	for n > 0 && v.versions[n-1] == nil {
		n++
	}
	if n == 0 {
		return nil, 0, p.wake
	}
	return v.versions[n-1], uint64(n), p.wake
}

// watchPoll is the interval at which a watch checks whether changes have become
// visible.
const watchPoll = 50 * time.Millisecond

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, name string) {
	if status := p.admit(); status != 0 {
		w.WriteHeader(status)
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	end := p.cfg.Timer.After(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	poll := p.cfg.Timer.Every(watchPoll)
	defer poll.Stop()
	for {
		data, revision, wake := p.look(name)
		if revision > after {
			writeValue(w, data, revision)
			return
		}
		select {
		case <-wake:
			if p.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-poll.C():
		case <-end.C():
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// serveControl serves the control calls of tests and demos:
//
//	POST /control/value/{name}     body is the value
//	POST /control/down?on=true     starts or ends an outage
//	POST /control/stale?versions=1 makes responses stale
//	POST /control/budget?calls=N   sets the maximum calls per second
//	POST /control/reset            sets the counters to zero
//	GET  /control/counts           returns the counters
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	command := strings.TrimPrefix(r.URL.Path, "/control/")
	name, isValue := strings.CutPrefix(command, "value/")
	var err error
	switch {
	case isValue:
		var data []byte
		if data, err = io.ReadAll(r.Body); err == nil {
			p.Put(name, data)
		}
	case command == "down":
		p.SetDown(q.Get("on") == "true")
	case command == "stale":
		var n int
		if n, err = strconv.Atoi(q.Get("versions")); err == nil {
			p.SetStale(n)
		}
	case command == "budget":
		var n int
		if n, err = strconv.Atoi(q.Get("calls")); err == nil {
			p.SetBudget(n)
		}
	case command == "reset":
		p.ResetCounts()
	case command == "counts":
		err = json.NewEncoder(w).Encode(p.Counts())
	default:
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
