package once

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

// errStale reports that too much time has passed since an intent was copied.
var errStale = errors.New("once: the copy of the intent is too old")

// dispatch copies the intent of a new call, makes the call and records its
// outcome.
func (s *Service) dispatch(ctx context.Context, cur *run, e intent.Entry, r Route, c Call) {
	a, err := s.attempt(ctx, e, r, c)
	s.conclude(ctx, cur, e.ID, r, a, err)
}

// attempt makes the call. If its gate rejects it because the copy is too old, no
// byte was written, and the call is copied and tried again.
func (s *Service) attempt(ctx context.Context, e intent.Entry, r Route, c Call) (plain.Answer, error) {
	var last error
	for range maxTries {
		at := s.cfg.Clock.Now()
		if at-e.FirstSeen >= r.hold()/2 {
			return plain.Answer{}, fail.Refuse(fail.CodeDeadline, 0, "the call waited too long at its home")
		}
		if err := s.copyIntent(ctx, e); err != nil {
			return plain.Answer{}, err
		}
		call := c.Call
		call.Idempotent = false
		call.Limit, call.MaxAnswer = r.limit(), r.maxAnswer()
		call.Gate = func() error { return s.gate(at, r, e.ID) }
		a, err := s.cfg.Caller.Call(ctx, call)
		if err == nil || fail.Outcome(err) != ident.NotRun || !errors.Is(err, errStale) {
			return a, err
		}
		last = err
	}
	return plain.Answer{}, last
}

// gate reports why a call whose intent was copied at the instant at must not run
// now, or returns nil.
func (s *Service) gate(at tick.Instant, r Route, id intent.ID) error {
	v, ok := s.cfg.Table.View()
	if !ok || s.superseded() {
		return fail.Refuse(fail.CodeHomeUnreachable, retryHome, "the call's home has been replaced")
	}
	now, ok := v.Route(r.Name)
	if !ok {
		return fail.Refuse(fail.CodeUnknownRoute, fail.NoRetry, "the table has no such route any more")
	}
	if home, ok := intent.Home(v.Seats(), now.Centre, id); !ok || home != s.cfg.Self.Instance {
		return fail.Refuse(fail.CodeHomeUnreachable, retryHome, "the call's home has changed")
	}
	if s.cfg.Clock.Now()-at > maxCopyAge {
		return errStale
	}
	return nil
}

// conclude records the outcome of a call, here and at a backup, and wakes the
// callers that wait for it.
func (s *Service) conclude(ctx context.Context, cur *run, id intent.ID, r Route, a plain.Answer, err error) {
	e, changed := s.settle(id, a, err)
	if changed {
		s.copyEnd(ctx, e)
	}
	if fail.Outcome(err) == ident.Unknown {
		err = lostCall(r, err)
	}
	s.mu.Lock()
	if s.runs[id] == cur {
		delete(s.runs, id)
	}
	s.mu.Unlock()
	cur.answer, cur.err = a, err
	close(cur.done)
	s.exit()
}

// settle records the outcome of a call in the journal and returns the entry to
// copy, if it has changed.
func (s *Service) settle(id intent.ID, a plain.Answer, err error) (intent.Entry, bool) {
	switch fail.Outcome(err) {
	case ident.Done:
		if err != nil {
			return s.journal.Finish(id, intent.Response{Partial: true})
		}
		return s.journal.Finish(id, record(a))
	case ident.NotRun:
		return s.journal.Drop(id)
	default:
		s.journal.MarkUnknown(id)
		return intent.Entry{}, false
	}
}

// lostCall adds to err how the caller can find out whether the call ran.
func lostCall(r Route, err error) error {
	var f *fail.Error
	peer := ""
	if errors.As(err, &f) {
		peer = f.Peer()
	}
	refusal := fail.Refuse(fail.CodeBackendFailed, fail.NoRetry, "the service did not answer; "+advice(r))
	return fail.New("once: call", peer, ident.Unknown, errors.Wrap(refusal, err.Error()))
}

// unknown returns the error for a key if it is not known whether a call with it
// has run.
func unknown(r Route, retry time.Duration, reason string) error {
	return fail.New("once: decide", "", ident.Unknown,
		fail.Refuse(fail.CodeKeyUnknown, retry, reason+"; "+advice(r)))
}

// advice returns the text on what to check before repeating a call.
func advice(r Route) string {
	if r.Status == "" {
		return "check with the service whether it took effect before repeating it"
	}
	return "read " + r.Status + " to see whether it took effect before repeating it"
}

// record converts an answer to a response of the journal.
func record(a plain.Answer) intent.Response {
	out := intent.Response{Status: a.Status, Body: a.Body}
	for name, values := range a.Header {
		for _, v := range values {
			out.Headers = append(out.Headers, intent.Header{Name: name, Value: v})
		}
	}
	return out
}

// replay returns the recorded answer of e.
func replay(e intent.Entry, r Route) (plain.Answer, error) {
	if e.Response.Partial {
		return plain.Answer{}, fail.New("once: replay", "", ident.Done,
			fail.Refuse(fail.CodeBackendFailed, fail.NoRetry, "the call ran, but its answer was not kept; "+advice(r)))
	}
	a := plain.Answer{Status: e.Response.Status, Body: e.Response.Body, Replayed: true}
	a.Header = header(e.Response.Headers)
	return a, nil
}

// line logs the decision about one keyed call.
func (s *Service) line(c Call, home ident.Instance, what string, a plain.Answer, err error) {
	ev := logs.Decision(s.cfg.Log).
		Str("request", string(c.Request)).
		Str("customer", string(c.Customer)).
		Str("route", string(c.Route)).
		Str("home", string(home)).
		Str("server", string(a.Server)).
		Str("runner_up", string(a.RunnerUp)).
		Bool("replayed", a.Replayed).
		Str("outcome", fail.Outcome(err).String())
	if err != nil {
		ev = ev.Str("reason", err.Error())
	}
	ev.Msg("once: " + what)
}
