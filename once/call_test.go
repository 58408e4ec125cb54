package once_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plain"
)

func codeOf(err error) fail.Code {
	r, ok := fail.AsRefusal(err)
	if !ok {
		return ""
	}
	return r.Code()
}

func TestSameKeyAtTheSameTime(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a2")
	held, release := make(chan struct{}), make(chan struct{})
	w.on(afterWrite, func(*proc) { close(held); <-release })
	var wg sync.WaitGroup
	answers := make(chan plain.Answer, len(walkSeats))
	errs := make(chan error, len(walkSeats))
	for i, entry := range walkSeats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := w.call(entry, ident.Request(strings.Repeat("r", i+1)), key)
			answers <- a
			errs <- err
		}()
	}
	<-held
	close(release)
	wg.Wait()
	replayed := 0
	for range walkSeats {
		is.NoErr(<-errs)
		if a := <-answers; a.Replayed {
			replayed++
		}
	}
	is.Equal(w.ran(key), 1)
	is.Equal(replayed, len(walkSeats)-1)
}

func TestCallerThatLeavesDoesNotEndTheCall(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a2")
	gone, cancel := context.WithCancel(context.Background())
	w.on(atGate, func(*proc) { cancel() })
	_, err := w.at("a2").svc.Run(gone, once.Call{Key: key, Call: plain.Call{
		Request: "r1", Customer: "sur", Route: "confirm", Method: "POST", Path: "/confirm",
		Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("pupil 7"),
	}})
	settled(w)
	is.True(err == nil || codeOf(err) == fail.CodeKeyInProgress && fail.Outcome(err) == unknown)
	a, err := w.call("b1", "r2", key)
	is.NoErr(err)
	is.True(a.Replayed)
	is.Equal(w.ran(key), 1)
}

// TestWindowAfterLostJournal checks for how long keys are rejected after a full
// restart, and that the rejection has a Retry-After and names the status path.
func TestWindowAfterLostJournal(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	_, err := w.call("b1", "r1", key)
	is.NoErr(err)
	for _, s := range w.view.seats {
		w.kill(w.at(s.Instance))
		w.start(s.Instance)
	}
	w.sync()
	_, err = w.call("b1", "r2", key)
	r, ok := fail.AsRefusal(err)
	is.True(ok)
	is.Equal(r.Code(), fail.CodeKeyUnknown)
	is.Equal(fail.Outcome(err), unknown)
	is.True(strings.Contains(r.Reason(), "read /status"))
	is.True(r.RetryAfter() > 0)
	w.clock.Advance(r.RetryAfter() - time.Millisecond)
	_, err = w.call("b1", "r3", key)
	is.Equal(codeOf(err), fail.CodeKeyUnknown)
	w.clock.Advance(time.Millisecond)
	_, err = w.call("b1", "r4", key)
	is.NoErr(err) // the key of the first call has expired
	is.Equal(w.ran(key), 2)
}

func TestDepartureHandsOver(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	_, err := w.call("b1", "r1", key)
	is.NoErr(err)
	old := w.at("a1")
	is.NoErr(old.svc.Leave(ctx))
	_, err = w.call("b1", "r2", key)
	is.Equal(codeOf(err), fail.CodeDraining)
	is.Equal(fail.Outcome(err), notRun)
	w.restart("a1")
	a, err := w.call("b1", "r3", key)
	is.NoErr(err)
	is.True(a.Replayed)
	_, err = w.call("b1", "r4", w.keyAt("a1")+"x")
	is.NoErr(err) // the successor knows that other keys are new
	is.Equal(w.ran(key), 1)
}

// TestRollingReplacement replaces the processes one after another and repeats a
// call after each step.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	_, err := w.call("b1", "r1", key)
	is.NoErr(err)
	for i, s := range w.view.seats {
		is.NoErr(w.at(s.Instance).svc.Leave(ctx))
		w.restart(s.Instance)
		w.sync() // one round of each process
		a, err := w.call("b2", ident.Request(strings.Repeat("s", i+1)), key)
		is.NoErr(err)
		is.True(a.Replayed)
		_, err = w.call("b2", ident.Request(strings.Repeat("t", i+1)), key+"-fresh-"+string(s.Instance))
		is.NoErr(err) // no key is rejected in between
	}
	is.Equal(w.ran(key), 1)
}

func TestKeyReused(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	_, err := w.call("b1", "r1", key)
	is.NoErr(err)
	_, err = w.at("b2").svc.Run(ctx, once.Call{Key: key, Call: plain.Call{
		Request: "r2", Customer: "sur", Route: "confirm", Method: "POST", Path: "/confirm", Body: []byte("pupil 8"),
	}})
	is.Equal(codeOf(err), fail.CodeKeyReused)
	is.Equal(fail.Outcome(err), notRun)
	_, err = w.at("b2").svc.Run(ctx, once.Call{Key: "large", Call: plain.Call{
		Request: "r3", Customer: "sur", Route: "confirm", Method: "POST", Body: make([]byte, 4<<20+1),
	}})
	is.Equal(codeOf(err), fail.CodeTooLarge) // larger than what instances forward
	is.Equal(fail.Outcome(err), notRun)
}

// TestTwoViews checks that a key runs once while two instances have different
// revisions of the table, by which it has different homes.
func TestTwoViews(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	old := w.view
	next := &view{revision: 2, route: old.route, seats: append(seatsOf("a", "a2", "a3"), seatsOf("b", "b1", "b2")...)}
	w.view = next
	moved := w.homeOf(key)
	is.True(moved != "a1")
	for _, seat := range []ident.Instance{"a1", "a2", "a3", "b1"} {
		if seat != moved {
			w.at(seat).own = old
		}
	}
	_, err := w.call("b1", "r1", key) // by the old table
	is.NoErr(err)
	_, err = w.call("b2", "r2", key) // by the new one, whose home cannot know the key
	is.Equal(codeOf(err), fail.CodeKeyUnknown)
	w.at(moved).own = old
	_, err = w.call("b2", "r3", key) // the new home has the old table
	is.Equal(codeOf(err), fail.CodeHomeUnreachable)
	is.Equal(fail.Outcome(err), notRun)
	is.Equal(w.ran(key), 1)
}

// TestOldHomeWithUpdatedBackups calls a home that the new table no longer has. The
// home still has the old table, its backups have the new one.
func TestOldHomeWithUpdatedBackups(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	key := w.keyAt("a1")
	old := w.view
	w.setView(&view{revision: 2, route: old.route, seats: append(seatsOf("a", "a2", "a3"), seatsOf("b", "b1", "b2")...)})
	w.at("a1").own, w.at("b1").own = old, old
	for range 2 {
		_, err := w.call("b1", "r1", key)
		is.Equal(codeOf(err), fail.CodeHomeUnreachable)
		is.Equal(fail.Outcome(err), notRun)
		_ = w.at("a1").svc.Sync(ctx) // the backups still reject its copies
	}
	is.Equal(w.ran(key), 0)
}

func TestJournalBounds(t *testing.T) {
	is := is.New(t)
	j := intent.NewJournal(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20, MaxBodyBytes: 4})
	begin := func(now time.Duration, key string) intent.Decision {
		v, _ := j.Begin(now, intent.NewID("sur", "confirm", key), intent.Fingerprint{}, keep)
		return v
	}
	is.Equal(begin(0, "a"), intent.Run)
	is.Equal(begin(0, "b"), intent.Run)
	is.Equal(begin(0, "c"), intent.Full) // no entry is removed before it expires
	_, ok := j.Finish(intent.NewID("sur", "confirm", "a"), intent.Response{Status: 200, Body: []byte("large")})
	is.True(ok)
	v, e := j.Begin(1, intent.NewID("sur", "confirm", "a"), intent.Fingerprint{}, keep)
	is.Equal(v, intent.Replay)
	is.True(e.Response.Partial) // the body is too large to record
	is.Equal(begin(2*keep, "b"), intent.Join)
	for page := range intent.Shards {
		j.Expire(2*keep, page)
	}
	is.Equal(j.Len(), int64(1)) // an entry in flight does not expire
	is.Equal(begin(2*keep, "c"), intent.Run)
}

// connected is a Dialer of one home over connect, by HTTP on loopback.
type connected struct{ url string }

func (c connected) Once(ident.Instance) (peerClient, error) {
	return peerpbconnect.NewOnceServiceClient(http.DefaultClient, c.url), nil
}

func TestForwardOverConnect(t *testing.T) {
	w := newWorld()
	key := w.keyAt("a1")
	home := http.NewServeMux()
	home.Handle(peerpbconnect.NewOnceServiceHandler(w.at("a1").svc.Handler()))
	dead := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + l.Addr().String()
	_ = l.Close()
	tests := []struct {
		name string
		h    http.Handler
		want ident.Outcome
		code fail.Code
	}{
		{"home answers", home, done, ""},
		{"reply is lost", http.HandlerFunc(dead), unknown, fail.CodeKeyUnknown},
		{"dial fails", nil, notRun, fail.CodeHomeUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			url := closed
			if tt.h != nil {
				srv := httptest.NewServer(tt.h)
				defer srv.Close()
				url = srv.URL
			}
			entry := once.New(once.Config{
				Self: ident.Node{Instance: "b1", Incarnation: 1}, Table: w.at("b1"),
				Dialer: connected{url}, Caller: w.at("b1"), Clock: w.clock, Log: zerolog.Nop(),
			})
			a, err := entry.Run(ctx, once.Call{Key: key, Call: plain.Call{
				Request: "r1", Customer: "sur", Route: "confirm", Method: "POST", Path: "/confirm",
				Header: http.Header{"Idempotency-Key": {key}, "X-Name": {"Mu\xf1oz"}}, Body: []byte("pupil 7\xff"),
			}})
			if err == nil {
				is.Equal(a.Header.Get("X-Run"), "r1") // header values that are not UTF-8 do not break the reply
				is.Equal(a.Header.Get("X-Name"), "Mu?oz")
			}
			is.Equal(fail.Outcome(err), tt.want)
			is.Equal(codeOf(err), tt.code)
		})
	}
}
