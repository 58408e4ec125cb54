package drain

import (
	"time"

	"wasabidock.dev/dock/tick"
)

// Request is what decides whether a process that drains takes a request, or writes it to a server.
type Request struct {
	Received   tick.Instant  // when its last byte was received, 0 if that is still to come
	Deadline   tick.Instant  // it has ended by then, whatever happens
	Usual      time.Duration // how long such requests usually take
	Repeatable bool          // its caller may send it again, whatever has become of it
}

// View is how a process that drains sees a Request.
type View struct {
	Draining bool          // the process does not serve any more, and the other fields have a meaning
	Noticed  bool          // the load balancer sent no new connections when the request was received
	Left     time.Duration // time until the end that was announced
	Taken    bool          // the request is taken
}

// Weigh returns whether a request is taken that no server may have run yet.
//
// A request that is certain to end before the process is taken. Of the others, the callers that are refused reach another instance once
// the load balancer sends no new connections here. Of what is received from then on only requests are taken that may be repeated and
// usually end in time. Callers that are refused before may come back here, so that what is usual decides for all of them.
func (t *Tracker) Weigh(r Request) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	received := r.Received
	if received == 0 {
		received = now
	}
	v := View{Draining: t.stage > Serving, Noticed: received >= t.noticed, Left: t.end - now}
	switch {
	case t.stage == Serving:
		v.Taken = true
	case t.stage >= Closing:
	case r.Deadline <= t.end:
		v.Taken = true
	case !v.Noticed || r.Repeatable:
		v.Taken = r.Usual <= v.Left
	}
	return v
}
