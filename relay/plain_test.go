package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/platform/mimic"
)

// runs returns how often all servers together ran requests.
func (w *world) runs() int {
	n := 0
	for _, s := range w.servers {
		n += len(s.Runs())
	}
	return n
}

func TestPlainFaults(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		fault    mimic.Fault
		status   int
		body     string
		runs     int // on all servers; -1 for one or two
		sealed   bool
		notRun   bool
		canRetry bool
	}{
		{name: "mutating whole", path: "/file/1", status: 200, body: mimic.Answer("s1", "a1"), runs: 1, sealed: true},
		{name: "mutating shed", path: "/file/1", fault: mimic.Shed, status: 503, notRun: true, canRetry: true},
		{name: "mutating reset", path: "/file/1", fault: mimic.Reset, status: 502, runs: 1},
		{name: "mutating torn", path: "/file/1", fault: mimic.TruncatedBody, status: 502, runs: 1},
		{name: "mutating error", path: "/file/1", fault: mimic.InternalError, status: 500, runs: 1, sealed: true},
		{name: "mutating unsealed", path: "/file/1", fault: mimic.Unsealed, status: 502, runs: 1},
		{name: "mutating encoded", path: "/file/1", fault: mimic.Encoded, status: 502, runs: 1},
		{name: "mutating stray", path: "/file/1", fault: mimic.StrayResponse, status: 200, body: mimic.Answer("s1", "a1"), runs: 1, sealed: true},
		{name: "mutating extra", path: "/file/1", fault: mimic.ExtraResponse, status: 200, body: mimic.Answer("s1", "a1"), runs: 1, sealed: true},
		{name: "mutating unframed", path: "/file/1", fault: mimic.NoLength, status: 200, body: mimic.Answer("s1", "a1"), runs: 1, sealed: true},
		{name: "mutating mute", path: "/file/1", fault: mimic.Hang, status: 504, runs: 1},
		{name: "mutating endless", path: "/file/1", fault: mimic.Endless, status: 502, runs: 1},
		{name: "idempotent whole", path: "/read/1", status: 200, body: mimic.Answer("s1", "a1"), runs: 1, sealed: true},
		{name: "idempotent reset", path: "/read/1", fault: mimic.Reset, status: 502, runs: 1},
		{name: "idempotent error", path: "/read/1", fault: mimic.InternalError, status: 500, runs: 1, sealed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
			w.servers["s1"].SetFault(tt.fault)
			got := w.ask(t, http.MethodPost, tt.path, "body")
			is.NoErr(got.err)
			is.Equal(got.status, tt.status) // status
			if tt.body != "" {
				is.Equal(got.body, tt.body) // the server's bytes
			}
			is.Equal(w.runs(), tt.runs)                                                              // runs
			is.Equal(got.header.Get("Wasabidock-Server-Seal") != "", tt.sealed)                      // seal
			is.Equal(strings.Contains(got.body, `"outcome":"`+ident.NotRun.String()+`"`), tt.notRun) // promise
			is.Equal(got.header.Get("Retry-After") != "", tt.canRetry)                               // when to come back
		})
	}
}

func TestIdempotentGoesToASecondServer(t *testing.T) {
	for _, fault := range []mimic.Fault{
		mimic.Reset, mimic.InternalError, mimic.Unsealed, mimic.TruncatedBody, mimic.Hang, mimic.Shed, mimic.Encoded,
	} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain})
			w.servers["s1"].SetFault(fault)
			for range 6 {
				got := w.ask(t, http.MethodGet, "/read/1", "")
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, mimic.Answer("s2", "a1"))
			}
		})
	}
}

func TestRepeatsAreTakenFromTheBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain})
	w.budget.left = 0
	w.servers["s1"].SetFault(mimic.InternalError)
	w.servers["s2"].SetFault(mimic.InternalError)
	got := w.ask(t, http.MethodGet, "/read/1", "")
	is.Equal(got.status, 500) // the first server's own answer is passed on
	is.Equal(w.runs(), 1)
	is.Equal(w.budget.spent, 0)
}

// TestEndlessAnswersLeaveRoomForOthers has many answers without end at once: they
// fail, and common answers come through beside them.
func TestEndlessAnswersLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	w.servers["s1"].SetFault(mimic.Endless)
	ends := make(chan answer)
	for range 8 {
		go func() { ends <- w.ask(t, http.MethodPost, "/file/1", "body") }()
	}
	eventually(t, "all have run", func() bool { return w.runs() == 8 })
	w.servers["s1"].SetFault(mimic.NoFault)
	got := w.ask(t, http.MethodPost, "/file/1", "body")
	is.Equal(got.status, 200)
	for range 8 {
		is.Equal((<-ends).status, 502)
	}
}

// TestSlowServersAreWaitedFor asks idempotent requests where each server takes
// longer than the time after which they may be repeated elsewhere. One without a
// repeat in the budget is not cut; and once the service is known to be slow,
// none is repeated.
func TestSlowServersAreWaitedFor(t *testing.T) {
	for _, tt := range []struct {
		name   string
		budget int
		spent  int // at most, over four requests
	}{{name: "no budget"}, {name: "budget", budget: 10, spent: 1}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain})
			w.budget.left = tt.budget
			for _, s := range w.servers {
				s.SetFault(mimic.Slow)
			}
			for range 4 {
				got := w.ask(t, http.MethodGet, "/read/1", "")
				is.NoErr(got.err)
				is.Equal(got.status, 200)
			}
			is.True(w.budget.spent <= tt.spent)
		})
	}
}

func TestMutatingNeverRunsTwice(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain})
	for _, fault := range []mimic.Fault{mimic.Reset, mimic.Hang, mimic.TruncatedBody, mimic.Unsealed, mimic.InternalError} {
		before := w.runs()
		w.servers["s1"].SetFault(fault)
		w.servers["s2"].SetFault(fault)
		got := w.ask(t, http.MethodPost, "/file/1", "body")
		is.True(got.status >= 500 && got.status != 503) // nothing is promised
		is.Equal(w.runs(), before+1)
	}
}

func TestDisownedGoesOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain})
	w.servers["s1"].SetFault(mimic.Shed)
	for range 4 {
		got := w.ask(t, http.MethodPost, "/file/1", "body")
		is.Equal(got.status, 200)
		is.Equal(got.body, mimic.Answer("s2", "a1"))
	}
}

func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	is.Equal(w.ask(t, http.MethodPost, "/file/1", strings.Repeat("x", 600)).status, 503) // over the memory for bodies
	is.Equal(w.ask(t, http.MethodPost, "/file/1", strings.Repeat("x", 400)).status, 200)
}

func TestForwarded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	got := w.ask(t, http.MethodPost, "/file/a%2Fb?q=1&r=%20", "the body",
		header("Wasabidock-Tenant", "someone"), header("Wasabidock-Kv-Hold", "h"), header("Wasabidock-Pin-Ms", "9"),
		header("Wasabidock-Kv-Backup", "1.2.3.4:5"), header("Wasabidock-Kv-Source", "1.2.3.4:5/x"),
		header("Wasabidock-Expect-Instance", "other"), header("X-Own", "kept"), header("Connection", "X-Hop"),
		header("X-Hop", "dropped"))
	is.Equal(got.status, 200)
	run := w.servers["s1"].Runs()[0]
	is.Equal(run.Path, "/file/a%2Fb?q=1&r=%20")
	is.Equal(run.Body, "the body")
	is.Equal(run.ID, "a1")
	for k, want := range map[string]string{
		"Wasabidock-Tenant": "sur", "Wasabidock-Expect-Instance": "s1", "X-Own": "kept", "X-Hop": "",
		"Authorization": "", "Wasabidock-Kv-Hold": "", "Wasabidock-Pin-Ms": "", "Wasabidock-Kv-Backup": "",
		"Wasabidock-Kv-Source": "",
	} {
		if got := run.Header.Get(k); got != want {
			t.Errorf("header %s at the server: got %q, want %q", k, got, want)
		}
	}
}

func TestOwnRefusals(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		body   string
		change func(*http.Request)
		status int
	}{
		{name: "no route", path: "/none/1", status: 404},
		{name: "no key", path: "/file/1", change: func(r *http.Request) { r.Header.Del("Authorization") }, status: 401},
		{name: "other key", path: "/file/1", change: header("Authorization", "Token none"), status: 401},
		{name: "other scheme", path: "/file/1", change: header("Authorization", "Bearer "+testKey), status: 401},
		{name: "body too large", path: "/file/1", body: strings.Repeat("x", 1001), status: 413},
		{name: "header too large", path: "/file/1", change: header("X-Long", strings.Repeat("x", 3000)), status: 431},
		{name: "open route", path: "/open/1", change: func(r *http.Request) { r.Header.Del("Authorization") }, status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
			change := tt.change
			if change == nil {
				change = func(*http.Request) {}
			}
			got := w.ask(t, http.MethodPost, tt.path, tt.body, change)
			is.Equal(got.status, tt.status)
			if tt.status != 200 {
				is.Equal(w.runs(), 0)
			}
			eventually(t, "one decision line", func() bool { return w.log.decisions() == 1 })
		})
	}
}

func TestNothingKnownIsAPromise(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{})
	got := w.ask(t, http.MethodPost, "/file/1", "body")
	is.Equal(got.status, 503) // no server is known
	is.True(got.header.Get("Retry-After") != "")
}

func TestLimitRefusesWithTheWait(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	w.limiter.refuse = 1500 * time.Millisecond
	got := w.ask(t, http.MethodPost, "/file/1", "body")
	is.Equal(got.status, 429)
	is.Equal(got.header.Get("Retry-After"), "1.500")
	is.Equal(w.runs(), 0)
}

func TestChargeIsGivenBackIfNothingRan(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	w.servers["s1"].SetFault(mimic.Shed)
	w.ask(t, http.MethodPost, "/file/1", "body")
	is.Equal(w.limiter.charged, 0)
	w.servers["s1"].SetFault(mimic.Reset)
	w.ask(t, http.MethodPost, "/file/1", "body")
	is.Equal(w.limiter.charged, 200) // it may have run
}

func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	w.servers["s1"].SetFault(mimic.Hang)
	start := time.Now()
	got := w.ask(t, http.MethodPost, "/file/1", "body", header("Wasabidock-Deadline-Ms", "300"))
	is.Equal(got.status, 504)
	is.True(time.Since(start) < time.Second)
	eventually(t, "the server sees the end of the call", func() bool {
		_, canceled, _, _ := w.servers["s1"].Counts()
		return canceled == 1
	})
}

func TestConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	for range 5 {
		is.Equal(w.ask(t, http.MethodPost, "/file/1", "body").status, 200)
	}
	_, _, conns, _ := w.servers["s1"].Counts()
	is.Equal(conns, 1)
}

func TestLeavingRefusesWhatCannotEnd(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		left   time.Duration
		change func(*http.Request)
		status int
	}{
		{name: "time for a plain call", path: "/file/1", left: 3 * time.Second, status: 200},
		{name: "no time for a plain call", path: "/file/1", left: time.Second, status: 503},
		{name: "no time for a stream", path: "/once/1", left: 2 * time.Second, change: sized, status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain, "d1": mimic.Decode})
			w.handler.Drain(w.clock.Now() + tt.left)
			change := tt.change
			if change == nil {
				change = func(*http.Request) {}
			}
			got := w.ask(t, http.MethodPost, tt.path, "body", change)
			is.Equal(got.status, tt.status)
			is.True(got.closes) // the next request goes to another instance
		})
	}
}
