package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// errUnproven reports that a response ended with its connection, and that its server does not confirm the end.
var errUnproven = errors.New("the response ended with its connection, and its server does not confirm the end")

// errServerEnded reports that a response ended with its connection, and that its server has ended too.
var errServerEnded = errors.New("the server ended, and with it a response without a length")

// How responses with neither a length nor chunks end, for metrics.
const (
	EndWhole    = "whole"    // their server has confirmed it
	EndCrash    = "crash"    // their server had ended
	EndReset    = "reset"    // their connection failed
	EndUnproven = "unproven" // their server did not confirm it
)

const (
	// confirmShare is the share of the caller's time in which a server must confirm the end of a response that another attempt
	// may replace. The rest is for that one.
	confirmShare = 2.0 / 3
	// minPermitWait is the shortest time between two claims for the permit of a confirmation.
	minPermitWait = 50 * time.Millisecond
)

// promptParts are the parts of a request's prompt that other requests may share.
type promptParts struct {
	parts []crash.Part
	claim uint64      // ID of the claims of the request
	grant crash.Grant // admission of the request to its next attempt
	// The part for which the request was rejected.
	refused     crash.Part
	refusedName string
	verdict     crash.Verdict
}

// log adds the part for which the request was rejected to the decision log line, with its crashes.
func (p *promptParts) log(e *zerolog.Event, g *crash.Gate) {
	if p.verdict == crash.Clear {
		return
	}
	e.Str("refused_part", p.refusedName).Stringer("verdict", p.verdict)
	for _, h := range g.Tracker().Of([]crash.Part{p.refused}) {
		if n := len(h.Crashes); n > 0 {
			e.Int("part_crashes", n).Dur("oldest_crash", g.Now()-h.Crashes[0].At).Dur("newest_crash", g.Now()-h.Crashes[n-1].At)
		}
	}
}

// nameParts sets the parts of the request. The service must be known.
func (x *exchange) nameParts() {
	x.prompt.parts = crash.NewParts(x.service.Name, x.info.Model, x.info.Parts)
	x.prompt.claim = rand.Uint64() // callers choose x.info.ID, and may choose it twice
}

// partName returns the name of a part of the request for logs.
func (x *exchange) partName(i int) string { return x.service.Name + "/" + x.info.Parts[i] }

// admitParts waits until the request may be sent to a server as far as the parts of its prompt are
// concerned. If it may not, admitParts answers it and returns false. It must be called before each attempt, and while none is
// running.
func (x *exchange) admitParts(ctx context.Context) bool {
	p := &x.prompt
	grant, err := x.h.cfg.Crashes.Admit(ctx, crash.Claim{ID: p.claim, Parts: p.parts})
	if err == nil {
		p.grant = grant
		return true
	}
	var refused *crash.RefusedError
	if !errors.As(err, &refused) {
		refused = &crash.RefusedError{Verdict: crash.Suspect, Err: err}
	}
	p.verdict, p.refused = refused.Verdict, refused.Part
	for i, part := range p.parts {
		if part == refused.Part {
			p.refusedName = x.partName(i)
		}
	}
	x.h.cfg.Meter.Count("prompt_part_rejections_total", "verdict", p.verdict.String(), 1)
	x.giveUpAs(fail.CodePromptBlocked, max(refused.Wait, overloadRetry), refused.Error())
	return false
}

// checkParts returns an error if the parts of the prompt do not allow to write the request to a server now.
func (x *exchange) checkParts() error {
	err := x.h.cfg.Crashes.Check(x.prompt.grant, x.prompt.parts)
	if err != nil {
		x.countWithheld(notAdmitted)
	}
	return err
}

// isSuspect reports whether a part of the request's prompt is suspect or blocked.
func (x *exchange) isSuspect() bool {
	v, _, _ := x.h.cfg.Crashes.Tracker().Verdict(x.prompt.parts, x.h.cfg.Crashes.Now())
	return v != crash.Clear
}

// recordBegun records that a server has begun to answer the request.
func (x *exchange) recordBegun() {
	if len(x.prompt.parts) > 0 {
		x.h.cfg.Crashes.Tracker().Begun(x.prompt.parts, x.h.cfg.Crashes.Now())
	}
}

// recordBroken records that a server broke the connection before it had begun to answer, and finds out
// whether the server has ended.
func (x *exchange) recordBroken(s *route.Server, err error) {
	if len(x.prompt.parts) == 0 || !endsConnection(err) || x.callerGone() {
		return
	}
	t := x.h.cfg.Crashes.Tracker()
	names := make([]string, len(x.prompt.parts))
	for i := range names {
		names[i] = x.partName(i)
	}
	t.Broke(s.Hash(), x.prompt.parts, names, x.h.cfg.Crashes.Now())
	if errors.Is(err, errServerEnded) || x.hasEnded(x.r.Context(), s) {
		t.Confirm(s.Hash(), x.h.cfg.Crashes.Now())
	}
}

// hasEnded reports whether a server has ended: it refuses a new connection. A server that has is ejected.
func (x *exchange) hasEnded(ctx context.Context, s *route.Server) bool {
	err := x.h.cfg.Client.Probe(ctx, s.Addr, x.dialTimeout(s))
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	x.h.cfg.Health.RecordFailure(s.Key(), health.Absent, x.h.cfg.Clock.Now())
	return true
}

// endsConnection reports whether a call failed because its connection ended.
func endsConnection(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errServerEnded, errNoEvents} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// secondConn opens a second connection to a server whose response ends with its connection. It returns nil if the response
// does not, or if there is no connection. The caller must close it.
func (x *exchange) secondConn(ctx context.Context, s *route.Server, resp *link.Response) *link.SecondConn {
	if !x.openEnded(resp) {
		return nil
	}
	c, err := x.h.cfg.Client.OpenSecond(ctx, s.Addr, x.dialTimeout(s))
	if err != nil {
		x.h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: no second connection to a server whose response has no length")
		return nil
	}
	return c
}

// openEnded reports whether the end of a response is that of its connection.
func (x *exchange) openEnded(resp *link.Response) bool {
	return !resp.Framed() && x.r.Method != http.MethodHead
}

// checkEnd returns an error unless the end of a response is the end of what the server sent. readErr is the error with which
// its body was read, and c the result of secondConn. A response with neither a length nor chunks ends with its
// connection, so the end of its server or of the path to it looks the same. It is whole if the server answers on the
// second connection.
func (x *exchange) checkEnd(ctx context.Context, s *route.Server, resp *link.Response, c *link.SecondConn, readErr error) error {
	if !x.openEnded(resp) {
		return readErr
	}
	end, err := EndWhole, readErr
	switch {
	case readErr != nil && !endsConnection(readErr):
		return readErr
	case readErr != nil:
		end = EndReset
	case c != nil && x.confirm(ctx, s, c):
	case errors.Is(ctx.Err(), context.Canceled):
		return ctx.Err() // nobody waits for it any more
	case x.hasEnded(ctx, s):
		end, err = EndCrash, errServerEnded
	default:
		end, err = EndUnproven, errUnproven
	}
	x.h.cfg.Meter.Count("open_ended_responses_total", "end", end, 1)
	return err
}

// confirm reports whether a server answers on the second connection while the caller waits. The call counts against the limit
// of the server. A sound server may be silent for a time, and what it has sent is lost if it does not confirm the end.
func (x *exchange) confirm(ctx context.Context, s *route.Server, c *link.SecondConn) bool {
	ctx, cancel := context.WithTimeout(ctx, x.confirmWait())
	defer cancel()
	if !x.awaitPermit(ctx, s) {
		return false
	}
	err := c.Confirm(ctx, x.h.cfg.Protocol.StatusPath(), x.r.Host, func() error { return x.checkOwnCall(s) })
	if err != nil {
		x.h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: server does not confirm the end of a response without a length")
	}
	return err == nil
}

// awaitPermit waits for a permit for a call to a server, and returns false if there is none before ctx ends.
func (x *exchange) awaitPermit(ctx context.Context, s *route.Server) bool {
	for {
		if _, err := x.takePermit(ctx, s); err == nil {
			return true
		}
		wait := max(x.h.cfg.Permits.ClosedFor(s), minPermitWait)
		if tick.Sleep(ctx, x.h.cfg.Clock, wait) != nil {
			return false
		}
	}
}

// confirmWait returns how long a server may take to confirm the end of a response: as long as the caller waits, or a
// share of that if another attempt may follow and cannot be begun beside it.
func (x *exchange) confirmWait() time.Duration {
	wait := x.remaining()
	if x.streams() {
		wait = min(wait, patience(x.route))
	}
	if x.hedges() || !x.route.Retryable() || x.runCount() >= x.route.MaxAttempts {
		return wait
	}
	return time.Duration(confirmShare * float64(wait))
}
