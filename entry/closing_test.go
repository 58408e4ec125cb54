package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
)

const (
	closingGrace = 6 * time.Second
	// closingWork is longer than the end of a process without requests may take.
	closingWork = 400 * time.Millisecond
	// closingHold is the longest time for which a daemon is held at a step of its end.
	closingHold = 100 * time.Millisecond
)

// closingConfig is config with a route on which requests may last longer than the grace period.
var closingConfig = strings.Replace(config, `"timeoutMs":2000`, `"timeoutMs":14000`, 1)

// The log lines of the steps of a daemon's end.
const (
	stepDraining  = "entry: draining"
	stepEarlyEnd  = "entry: no request is active and the process ends"
	stepLateEnd   = "entry: requests without a response are answered, since the process ends"
	stepListeners = "entry: no connection is accepted any more"
	stepClosed    = "entry: the connections of callers are closed"
)

// holdAt is a hook that calls f once, at a log line.
type holdAt struct {
	line string
	f    func()
}

// Run implements zerolog.Hook.
func (h holdAt) Run(_ *zerolog.Event, _ zerolog.Level, line string) {
	if line == h.line {
		h.f()
	}
}

// arrival is a request that comes at a step of a daemon's end, and what became of it.
type arrival struct {
	kept   bool   // an earlier request on the connection was answered
	before string // sent before the stop
	at     string // sent at the step
	after  string // sent when the daemon goes on

	conn   net.Conn // nil for one that is opened at the step
	status int      // 0 if no whole response was received
	err    error
}

// closingRequest returns a request on which a server works for a time.
func closingRequest(id string, work time.Duration) string {
	h := http.Header{"Host": {"h.example"}, "Content-Length": {"4"}, "Authorization": {"Token k1"}, platform.AttemptHeader: {id}}
	fake.WithWork(h, work)
	var b strings.Builder
	_ = h.Write(&b) // cannot fail
	return "POST /file/1 HTTP/1.1\r\n" + b.String() + "\r\nbody"
}

// open opens the connection and sends what comes before the stop.
func (a *arrival) open(addr string) {
	if a.conn, a.err = net.Dial("tcp", addr); a.err != nil {
		return
	}
	_ = a.conn.SetDeadline(time.Now().Add(4 * closingGrace)) // cannot fail on an open connection
	if a.kept {
		a.err = keep(a.conn)
	}
	if a.err == nil {
		_, a.err = io.WriteString(a.conn, a.before)
	}
}

// send sends what comes at the step. The result is closed when the response or an error has come.
func (a *arrival) send(addr string) <-chan struct{} {
	if a.conn == nil {
		a.open(addr)
	}
	done := make(chan struct{})
	if a.err == nil {
		_, a.err = io.WriteString(a.conn, a.at)
	}
	if a.err != nil {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		resp, err := http.ReadResponse(bufio.NewReader(a.conn), nil)
		if a.err = err; err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if _, a.err = io.Copy(io.Discard, resp.Body); a.err == nil {
			a.status = resp.StatusCode
		}
	}()
	return done
}

// arrivals returns the kinds of arrivals by name.
func arrivals() map[string]*arrival {
	r := closingRequest("late", closingWork)
	return map[string]*arrival{
		"new connection":      {at: r},
		"accepted connection": {at: r},
		"kept connection":     {kept: true, at: r},
		"half a header":       {before: r[:40], at: r[40:]},
		"half a next header":  {kept: true, before: r[:40], at: r[40:]},
		"half a body":         {kept: true, at: r[:len(r)-2], after: r[len(r)-2:]},
	}
}

// TestClosingDaemonCutsNothing guards against requests that come as a process ends, run, and are cut.
func TestClosingDaemonCutsNothing(t *testing.T) {
	tests := []struct {
		step   string
		late   bool // a request without a response goes on to the end of the grace period
		refuse bool // a request is not taken
		closed bool // no connection is open
	}{
		{step: stepDraining},
		{step: stepEarlyEnd, refuse: true},
		{step: stepListeners, refuse: true},
		{step: stepClosed, refuse: true, closed: true},
		{step: stepLateEnd, late: true, refuse: true},
		{step: stepListeners, late: true, refuse: true},
		{step: stepClosed, late: true, refuse: true, closed: true},
	}
	for _, tt := range tests {
		for name, a := range arrivals() {
			t.Run(fmt.Sprintf("%s/late %v/%s", strings.TrimPrefix(tt.step, "entry: "), tt.late, name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				st, servers := startServers(t)
				st.Put("op/config", fmt.Appendf(nil, closingConfig, 1, "k1"))
				isNew := name == "new connection"
				var answered <-chan struct{}
				held := make(chan struct{})
				d := &testDaemon{}
				d.hooks = []zerolog.Hook{holdAt{tt.step, sync.OnceFunc(func() {
					defer close(held)
					answered = a.send(d.front)
					select {
					case <-answered:
					case <-time.After(closingHold):
					}
				})}}
				d.start(t, fmt.Sprintf("bounds.graceS=%g\n", closingGrace.Seconds()), "a-1", st.Addr())
				eventually(t, "ready", d.isReady)
				if !isNew {
					a.open(d.front)
					is.NoErr(a.err)
				}
				if tt.late {
					(&arrival{at: closingRequest("last", 2*closingGrace)}).send(d.front)
					eventually(t, "a request is active", func() bool { return len(servers["app1"].Runs()) == 1 })
				}
				d.stop()
				select {
				case <-held:
				case <-time.After(3 * closingGrace):
					t.Fatal("the daemon has not come to the step")
				}
				if a.after != "" && a.err == nil {
					_, _ = io.WriteString(a.conn, a.after) // fails if the response closes the connection
				}
				<-answered
				ran := false
				for _, u := range servers["app1"].Runs() {
					ran = ran || u.ID == "late"
				}
				switch {
				case !tt.refuse:
					is.NoErr(a.err)
					is.Equal(a.status, http.StatusOK)
				case tt.closed, isNew && a.conn == nil: // the caller can tell that the request was not received
				default:
					is.NoErr(a.err)
					is.Equal(a.status, http.StatusServiceUnavailable)
				}
				is.Equal(ran, !tt.refuse)
			})
		}
	}
}
