package main

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/platform/fake"
)

// plants are faults that stand between the clients and the daemons, for each
// promise one that the judge must see. They show that its checks can fail.
var plants = map[string]func(f *fleet, next http.RoundTripper) http.RoundTripper{
	"whole":      answers(cutBody),
	"seal":       answers(func(r *http.Response, _ string) error { fake.Unseal(r.Header); return nil }),
	"order":      answers(dropEvent),
	"refused":    answers(func(r *http.Response, _ string) error { r.StatusCode = http.StatusServiceUnavailable; return nil }),
	"recovery":   answers(func(r *http.Response, _ string) error { r.StatusCode = http.StatusBadGateway; return nil }),
	"unanswered": noAnswer,
	"memory":     littleMemory,
	"lost":       answers(func(*http.Response, string) error { return errPlanted }),
	"twice":      runs(func(p planted) bool { return p.call.Kind.AtMostOnce() && p.status == http.StatusOK }),
	"unasked":    runs(func(p planted) bool { p.call.ID += "x"; p.f.servers[0].RecordRun(p.call, "calm", true); return false }),
	"repeats":    runs(func(p planted) bool { return p.call.Kind == fake.Idempotent }),
	"limits":     runs(func(p planted) bool { return p.status == http.StatusTooManyRequests }),
	"key":        withdrawnKeys,
	"drain":      runs(atServers(departed)),
	"regions":    runs(outsideRegions),
	"cold":       runs(manyAtColdServers),
	"evacuated":  runs(atServers(isEvacuated)),
	"leaving":    runs(atServers(saysItLeaves)),
	"rests":      runs(atServers(askedForPause)),
	"named":      runs(atServers(namesLimit)),
	"fatal":      runs(func(p planted) bool { return p.isFatal() && p.crash() }),
	"beside":     fails(func(p planted) bool { return p.call.Kind.Stream() && !p.isFatal() && p.f.anyFatal() }),
	"gone":       workOn,
	"answer":     answers(otherAnswer),
	"handle":     uses(func(id string) (string, []string) { return id + "x", []string{id} }),
	"abandoned":  impatient,
	"second":     impatientAtSecond,
	"again":      uses(func(id string) (string, []string) { return id, []string{id, id} }),
	"reserved":   uses(func(id string) (string, []string) { return "", []string{id + "x", id} }),
}

var errPlanted = errors.New("planted")

// tamper is a RoundTripper that does wrong with what another one does.
type tamper struct {
	next http.RoundTripper
	do   func(*http.Request, *http.Response, error) (*http.Response, error)
}

// RoundTrip implements http.RoundTripper.
func (t tamper) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	return t.do(r, resp, err)
}

// answers changes one in ten successes.
func answers(change func(*http.Response, string) error) func(*fleet, http.RoundTripper) http.RoundTripper {
	return func(_ *fleet, next http.RoundTripper) http.RoundTripper {
		return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
			if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(r.URL.Path, "7") {
				return resp, err
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close() // it was read
			if err != nil {
				return nil, err
			}
			resp.Body = io.NopCloser(bytes.NewReader(body))
			if err := change(resp, string(body)); err != nil {
				return nil, err
			}
			return resp, nil
		}}
	}
}

func cutBody(resp *http.Response, body string) error {
	resp.Body = io.NopCloser(strings.NewReader(body[:len(body)/2]))
	return nil
}

func dropEvent(resp *http.Response, body string) error {
	resp.Body = io.NopCloser(strings.NewReader(strings.Replace(body, fake.NamedEvent(fake.ParseCall(resp.Request).ID, 2), "", 1)))
	return nil
}

// otherAnswer is the answer to another call, with the header of the right one.
func otherAnswer(resp *http.Response, body string) error {
	id := fake.ParseCall(resp.Request).ID
	resp.Body = io.NopCloser(strings.NewReader(strings.ReplaceAll(body, id, id+"1")))
	return nil
}

// noAnswer drops the responses to requests whose bodies are sent slowly.
func noAnswer(_ *fleet, next http.RoundTripper) http.RoundTripper {
	return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
		if _, ok := r.Body.(*slowBody); err != nil || !ok {
			return resp, err
		}
		_ = resp.Body.Close() // it is not read
		return nil, errPlanted
	}}
}

// impatience is the gap after which impatient ends a stream.
const impatience = 4 * streamPause

// impatient ends resumable streams that are silent, though their clients wait.
func impatient(_ *fleet, next http.RoundTripper) http.RoundTripper {
	return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
		if err == nil && fake.ParseCall(r).Kind == fake.Streaming {
			resp.Body = &impatientBody{resp.Body, time.AfterFunc(impatience, func() { _ = resp.Body.Close() })}
		}
		return resp, err
	}}
}

// impatientAtSecond is impatient, and ends a stream for a run at a server that fails.
func impatientAtSecond(f *fleet, next http.RoundTripper) http.RoundTripper {
	return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
		if c := fake.ParseCall(r); err == nil && c.Kind == fake.Streaming {
			resp.Body = &impatientBody{resp.Body, time.AfterFunc(impatience, func() {
				f.servers[len(roles)-1].RecordRun(c, customerOf(c.Key), true)
				_ = resp.Body.Close()
			})}
		}
		return resp, err
	}}
}

// impatientBody is a body that is closed when nothing comes for a time.
type impatientBody struct {
	io.ReadCloser
	end *time.Timer
}

func (b *impatientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		b.end.Reset(impatience)
	}
	return n, err
}

func (b *impatientBody) Close() error {
	b.end.Stop()
	return b.ReadCloser.Close()
}

// littleMemory gives the daemons less memory than they use.
func littleMemory(f *fleet, next http.RoundTripper) http.RoundTripper {
	f.memory.Store(1 << 20)
	return next
}

// uses has calls use KV handles or reservations of an owner, which is empty for a reservation.
func uses(by func(id string) (owner string, users []string)) func(*fleet, http.RoundTripper) http.RoundTripper {
	return func(f *fleet, next http.RoundTripper) http.RoundTripper {
		return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
			owner, users := by(fake.ParseCall(r).ID)
			f.servers[0].RecordUse(owner, users...)
			return resp, err
		}}
	}
}

// planted is a call that a fault may have run once more.
type planted struct {
	f      *fleet
	call   fake.Call
	status int // 0 without an answer
}

// runs has a server run the calls that are chosen once more.
func runs(chosen func(planted) bool) func(*fleet, http.RoundTripper) http.RoundTripper {
	return func(f *fleet, next http.RoundTripper) http.RoundTripper {
		return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
			p := planted{f: f, call: fake.ParseCall(r)}
			if err == nil {
				p.status = resp.StatusCode
			}
			if chosen(p) {
				f.servers[0].RecordRun(p.call, customerOf(p.call.Key), true)
			}
			return resp, err
		}}
	}
}

// isFatal reports whether a call has a part that crashes servers.
func (p planted) isFatal() bool {
	return slices.ContainsFunc(p.call.Parts, p.f.servers[len(roles)-1].HasFatalPart)
}

// crash records a crash of a server by a call. It returns true.
func (p planted) crash() bool {
	p.f.servers[0].RecordCrash(p.call.Parts[len(p.call.Parts)-1])
	return true
}

// anyFatal reports whether a part crashes servers now.
func (f *fleet) anyFatal() bool { return f.servers[len(roles)-1].HasFatalPart("") }

// fails replaces successes to the calls that are chosen by failures.
func fails(chosen func(planted) bool) func(*fleet, http.RoundTripper) http.RoundTripper {
	return func(f *fleet, next http.RoundTripper) http.RoundTripper {
		return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
			if err == nil && resp.StatusCode == http.StatusOK && chosen(planted{f: f, call: fake.ParseCall(r)}) {
				resp.StatusCode = http.StatusBadGateway
			}
			return resp, err
		}}
	}
}

func customerOf(key string) string {
	if key == floodName {
		return floodName
	}
	return "calm"
}

// atServers has the servers that are chosen run calls that may be repeated.
func atServers(chosen func(*server) bool) func(planted) bool {
	return func(p planted) bool {
		for _, s := range p.f.servers {
			if chosen(s) && p.call.Kind == fake.Idempotent {
				s.RecordRun(p.call, customerOf(p.call.Key), true)
			}
		}
		return false
	}
}

func departed(s *server) bool { return s.away.Load() && s.service == fake.PlainService }

func saysItLeaves(s *server) bool { return s.leaves.Load() && s.service == fake.PlainService }

func askedForPause(s *server) bool { return len(s.Backoffs()) > 0 }

func namesLimit(s *server) bool { return len(s.LimitSpans()) > 0 && s.service == fake.PlainService }

// workOn has a server work for each stream without an end.
func workOn(f *fleet, next http.RoundTripper) http.RoundTripper {
	return tamper{next, func(r *http.Request, resp *http.Response, err error) (*http.Response, error) {
		if c := fake.ParseCall(r); c.Kind == fake.Streaming {
			f.servers[0].RecordRun(c, customerOf(c.Key), false)
		}
		return resp, err
	}}
}

// withdrawnKeys serves calls with keys that were withdrawn.
func withdrawnKeys(_ *fleet, next http.RoundTripper) http.RoundTripper {
	return tamper{next, func(_ *http.Request, resp *http.Response, err error) (*http.Response, error) {
		if err == nil && resp.StatusCode == http.StatusUnauthorized {
			fake.Seal(resp.Header)
		}
		return resp, err
	}}
}
