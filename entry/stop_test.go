package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
)

const (
	stopGrace = 8 * time.Second
	// stopExcuse is the time from the begin of a stop in which a request may come that is cut off at its end, if a
	// server still works on it in the last sixth of the grace period.
	stopExcuse = 3 * time.Second
	// The servers make an event every stopPause. The callers' estimates of the lengths are right in the median.
	stopPause     = 10 * time.Millisecond
	stopMaxTokens = 400
	stopHint      = 70
)

// stopCall is a request on a connection that was kept, sent at a time after the begin of a stop.
type stopCall struct {
	id     string
	at     time.Duration // from the begin of the stop to the first byte
	upload time.Duration // time that the body takes
	work   time.Duration // time that a server takes for a plain request
	events int           // events of a stream, 0 for a plain request
	hint   int           // the caller's estimate of events

	status int
	body   string
	err    error
	ended  time.Duration
}

// takes returns how long a sound server takes.
func (c *stopCall) takes() time.Duration {
	if c.events > 0 {
		return time.Duration(c.events) * stopPause
	}
	return c.work
}

// answered reports whether the caller has a complete response.
func (c *stopCall) answered() bool { return c.err == nil }

// exchange sends the request at its time on a connection and reads the response.
func (c *stopCall) exchange(conn net.Conn, begin time.Time) {
	defer func() {
		_ = conn.Close()
		c.ended = time.Since(begin)
	}()
	time.Sleep(time.Until(begin.Add(c.at)))
	body := "a body of twenty byte"
	r, _ := http.NewRequest(http.MethodPost, "http://h.example/file/"+c.id, nil) // the address is valid
	if c.events > 0 {
		r.URL.Path = "/ask/" + c.id
		r.Header.Set("Wasabidock-Token-Count", fmt.Sprintf("100,%d", stopMaxTokens))
		r.Header.Set("Wasabidock-Length-Hint", fmt.Sprint(c.hint))
		r.Header.Set("Wasabidock-Deadline-Ms", "14000")
		fake.WithLength(r.Header, c.events)
	} else {
		fake.WithWork(r.Header, c.work)
	}
	r.Header.Set(platform.AttemptHeader, c.id)
	r.Header.Set("Authorization", "Token k1")
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", r.URL.Path, len(body))
	_ = r.Header.Write(&head) // cannot fail
	half := len(body) / 2
	if _, c.err = io.WriteString(conn, head.String()+"\r\n"+body[:half]); c.err != nil {
		return
	}
	time.Sleep(c.upload)
	if _, c.err = io.WriteString(conn, body[half:]); c.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if c.err = err; err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	c.body, c.err = string(b), err
}

// stopCalls returns the requests of one kind, n for each tenth of a second of the grace period.
func stopCalls(kind string, n int, rnd *rand.Rand) []*stopCall {
	// A stream that lasts keeps the process at work to the end of the grace period.
	calls := []*stopCall{{id: kind + "-last", events: int(2 * stopGrace / stopPause), hint: stopHint}}
	first := time.Duration(0)
	if kind == "late" {
		first, n = stopExcuse, 4*n // no earlier streams tell how long they take
	}
	for at := first; at < stopGrace; at += 100 * time.Millisecond {
		for i := range n {
			c := &stopCall{id: fmt.Sprintf("%s%d-%d", kind, at.Milliseconds(), i), at: at + time.Duration(rnd.IntN(100))*time.Millisecond}
			switch kind {
			case "stream", "late":
				c.hint = stopHint
				c.events = min(max(int(stopHint*(0.4+1.2*rnd.ExpFloat64())), 2), stopMaxTokens)
			case "silent":
				c.work = time.Minute
			case "upload":
				c.upload, c.work = 1500*time.Millisecond, 100*time.Millisecond
			default:
				c.work = time.Duration(20+rnd.IntN(280)) * time.Millisecond
			}
			calls = append(calls, c)
		}
	}
	return calls
}

// TestStopAnswersAll guards against requests that a stopping daemon has sent to a server and leaves without an answer.
func TestStopAnswersAll(t *testing.T) {
	for _, kind := range []string{"plain", "silent", "upload", "stream", "late"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			st := fake.NewStore()
			t.Cleanup(st.Close)
			var servers []*fake.Server
			for i, role := range []fake.Role{fake.Plain, fake.Plain, fake.Prefill, fake.Decode, fake.Decode} {
				s := fake.NewServer(fmt.Sprint("s", i), role)
				s.Register()
				s.SetPace(10, stopPause)
				t.Cleanup(s.Close)
				servers = append(servers, s)
				service := "llm"
				if role == fake.Plain {
					service = "app"
				}
				st.Put("servers/"+s.ID(), s.Entry(service, "a"))
			}
			ran := func() map[string]fake.Run {
				runs := make(map[string]fake.Run)
				for _, s := range servers {
					for _, u := range s.Runs() {
						runs[u.ID] = u
					}
				}
				return runs
			}
			st.Put("op/config", fmt.Appendf(nil, stopConfig, 1, "k1"))
			d := startDaemonWith(t, "a-1", st.Addr(), stopGrace)
			eventually(t, "ready", d.isReady)
			calls := stopCalls(kind, 2, rand.New(rand.NewPCG(7, 7)))
			conns := make([]net.Conn, len(calls))
			for i := range calls {
				var err error
				conns[i], err = net.Dial("tcp", d.front)
				is.NoErr(err)
				is.NoErr(keep(conns[i]))
			}
			d.stop()
			begin := time.Now()
			var ends sync.WaitGroup
			for i, c := range calls {
				ends.Go(func() { c.exchange(conns[i], begin) })
			}
			ends.Wait()
			runs := ran()
			cut := stopTable(t, kind, calls, runs)
			is.Equal(cut, 0) // requests without an answer that no rule excuses
		})
	}
}

// keep sends a first request on a connection, which is then kept.
func keep(c net.Conn) error {
	if _, err := io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// stopTable prints what became of the requests of each second and returns the number of those that were cut without an excuse.
func stopTable(t *testing.T, kind string, calls []*stopCall, runs map[string]fake.Run) int {
	type row struct{ sent, served, failed, refused, early, cut, excused int }
	rows := make([]row, stopGrace/time.Second)
	total := 0
	for _, c := range calls {
		r := &rows[c.at/time.Second]
		_, run := runs[c.id]
		sent := c.at + c.upload
		r.sent++
		switch {
		case c.answered() && c.status == 200:
			r.served++
		case c.answered() && c.status == 503:
			r.refused++
			if sent+c.takes() < stopGrace-shutdownMargin {
				r.early++
			}
			if run {
				t.Errorf("%s was refused and has run", c.id)
			}
		case c.answered():
			r.failed++
		case !run:
		case sent <= stopExcuse && sent+c.takes() > stopGrace*5/6:
			r.excused++
		default:
			r.cut++
			total++
			if os.Getenv("WASABI_STOP") != "" {
				t.Logf("%s sent at %v, takes %v, ended at %v: %v", c.id, sent, c.takes(), c.ended, c.err)
			}
		}
	}
	for i, r := range rows {
		t.Logf("%s, second %d: %d sent, %d served, %d failed, %d refused (%d would have ended in time), %d cut, %d excused",
			kind, i, r.sent, r.served, r.failed, r.refused, r.early, r.cut, r.excused)
	}
	return total
}

// stopConfig is the published configuration, with more room than config.
var stopConfig = strings.NewReplacer(`"maxConns":10`, `"maxConns":500`, `"slots":8,"kvTokens":10000`, `"slots":200,"kvTokens":1000000`, `"timeoutMs":5000`, `"timeoutMs":14000`).Replace(config)
