package proxy

import (
	"net/http"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
)

// withheldError reports that a request was not written because something has changed since it was decided.
type withheldError struct {
	reason string // for metrics
	text   string
}

// Error implements error.
func (e *withheldError) Error() string { return e.text }

// Local implements fail.LocalError.
func (e *withheldError) Local() bool { return true }

// The reasons for which requests are not written.
var (
	errClosed       = &withheldError{"closed", "the server has left, has restarted or accepts no requests since it was chosen"}
	errOutside      = &withheldError{"region", "the server is outside the allowed regions"}
	errEvacuated    = &withheldError{"evacuated", "the data centre of the server is being evacuated"}
	errOutsideKV    = &withheldError{"kv_region", "the KV cache of the request is outside the allowed regions"}
	errKeyWithdrawn = &withheldError{"key", "the key was withdrawn since the request arrived"}
	errProcessEnds  = &withheldError{"ends", "the request may not end before the process"}
)

// notAdmitted is the reason of requests that are not written because of the parts of their prompts.
const notAdmitted = "admission"

// WithheldReasons returns the reasons for which requests are not written, for metrics.
func WithheldReasons() []string {
	return []string{errClosed.reason, errOutside.reason, errEvacuated.reason, errOutsideKV.reason, errKeyWithdrawn.reason, errProcessEnds.reason, notAdmitted}
}

// withhold counts a request that is not written, and returns the reason as an error.
func (x *exchange) withhold(why *withheldError) error {
	x.countWithheld(why.reason)
	return why
}

// countWithheld counts a request that is not written.
func (x *exchange) countWithheld(reason string) {
	x.h.cfg.Meter.Count("writes_withheld_total", "reason", reason, 1)
}

// withheldFor returns the error for a request that is not written because its server may not serve it.
func withheldFor(v filter.Verdict) *withheldError {
	switch v.Reason {
	case filter.Region:
		return errOutside
	case filter.Evacuated:
		return errEvacuated
	default:
		return errClosed
	}
}

// isWithheld reports whether a call failed because its request was not written.
func isWithheld(err error) bool {
	_, ok := errors.Into[*withheldError](err)
	return ok
}

// checkWrite returns an error unless a request of any kind may be written to a server now. What was decided
// before a wait for a place, a prompt, a permit or a connection is decided again here, right before the write.
func (x *exchange) checkWrite(s *route.Server, p permit.Permit) error {
	if v := x.check(s); !v.OK() {
		return x.withhold(withheldFor(v))
	}
	return x.h.cfg.Permits.Check(p, s)
}

// checkOwnCall returns an error if a call about a response that a server sends may not be written to the server. Such a call
// belongs to an attempt that is running, which goes on after a change of the allowed regions.
func (x *exchange) checkOwnCall(s *route.Server) error {
	if x.h.cfg.Filter.Evacuated(s) {
		return x.withhold(errEvacuated)
	}
	return nil
}

// checkRun is checkWorkAfter for a run of a model request, which fetches the KV cache if there is one.
func (m *modelExchange) checkRun(mayHaveRun bool) error {
	if m.kvOutside() {
		return m.withhold(errOutsideKV)
	}
	return m.checkWorkAfter(mayHaveRun)
}

// kvOutside reports whether the KV cache is in a region that is not allowed any more.
func (m *modelExchange) kvOutside() bool {
	return m.kv != nil && !m.scope().Allows(m.kv.server.Region)
}

// checkWork is the part of checkWrite for requests that make a server work.
func (x *exchange) checkWork() error { return x.checkWorkAfter(x.mayHaveRun) }

// checkWorkAfter is checkWork for a request that a server may already have run or not.
func (x *exchange) checkWorkAfter(mayHaveRun bool) error {
	if x.keyWithdrawn() {
		return x.withhold(errKeyWithdrawn)
	}
	if !mayHaveRun && x.outlivesProcess() {
		return x.withhold(errProcessEnds)
	}
	return x.checkParts()
}

// keyWithdrawn reports whether the caller's key no longer belongs to the customer to whom the request is charged.
func (x *exchange) keyWithdrawn() bool {
	t := x.h.cfg.Live.Table()
	if x.customer == nil || t == x.table {
		return false
	}
	c, ok := t.Customer(route.HashKey(x.info.APIKey))
	return !ok || c.Name != x.customer.Name
}

// endIfTooLate ends a request that may not be sent to a server any more: its key was withdrawn, or the process ends. It
// returns true if it has.
func (x *exchange) endIfTooLate() bool {
	withdrawn := x.keyWithdrawn()
	switch {
	case withdrawn && (x.mayHaveRun || x.headerWritten || x.callerGone()):
		x.giveUp(0, errKeyWithdrawn.text)
	case withdrawn:
		x.clientError(http.StatusUnauthorized, fail.CodeKeyWithdrawn, errKeyWithdrawn.text)
	case !x.mayHaveRun && x.outlivesProcess():
		x.rejectDraining()
	default:
		return false
	}
	return true
}
