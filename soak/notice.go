package main

import (
	"fmt"
	"time"
)

// departures checks that departing servers are left alone.
func departures(r *record) string {
	for _, d := range r.departed {
		to := r.returnOf(d.what, d.at)
		late := r.settled(d.at).Add(drainTime)
		for _, a := range r.arrivals[d.what] {
			if a.At.After(late) && a.At.Before(to) && r.bound(a.ID, d.at) {
				return fmt.Sprintf("drain: %s came to %s %v after it departed", a.ID, d.what, a.At.Sub(d.at))
			}
		}
	}
	return ""
}

// returnOf returns when a server that left after an instant came back, the end of
// the run if it did not.
func (r *record) returnOf(server string, after time.Time) time.Time {
	to := r.end
	for _, b := range r.returned {
		if b.what == server && b.at.After(after) && b.at.Before(to) {
			to = b.at
		}
	}
	return to
}

// settled returns the instant from which on a change made at an instant is
// owed: trouble of the store draws it out.
func (r *record) settled(at time.Time) time.Time {
	for _, s := range r.store {
		if s.overlaps(at, at.Add(applyTime), contactTime) && s.to.Add(contactTime).After(at) {
			at = s.to.Add(contactTime)
		}
	}
	return at
}

// bound reports whether the daemon that took a call was sound from an instant
// on.
func (r *record) bound(id string, from time.Time) bool {
	o := r.call(id)
	return o != nil && r.sound(o.daemon, from, o.sent, true)
}

// leaving checks that a process sends nothing new to a server once it has passed
// on an answer in which the server says that it leaves.
func leaving(r *record) string {
	for _, told := range r.calls {
		if told.leaver == "" {
			continue
		}
		to := r.returnOf(told.leaver, told.sent)
		for _, a := range r.arrivals[told.leaver] {
			if !a.At.After(told.ended) || !a.At.Before(to) {
				continue
			}
			o := r.call(a.ID)
			if o != nil && o.process() == told.process() && o.sent.After(told.ended.Add(drainTime)) {
				return fmt.Sprintf("leaving: %s came to %s %v after daemon %d was told that it leaves",
					a.ID, told.leaver, a.At.Sub(told.ended), o.daemon)
			}
		}
	}
	return ""
}

// rests checks that a process leaves a server alone for the time that it was
// asked for. Calls of the router itself bear no id and are not seen.
func rests(r *record) string {
	for id, list := range r.rested {
		for _, asked := range list {
			told := r.call(asked.ID)
			if told == nil || r.isNew(id, asked.At) {
				continue
			}
			n := 0
			for _, a := range r.arrivals[id] {
				if a.At.Before(asked.At.Add(restSlack)) || !a.At.Before(asked.Until) {
					continue
				}
				if o := r.call(a.ID); o != nil && o.process() == told.process() {
					n++
				}
			}
			if n > restMost {
				return fmt.Sprintf("rests: %d requests of daemon %d came to %s that wanted none", n, told.daemon, id)
			}
		}
	}
	return ""
}

// serverLimitsKept checks that a server that names a limit gets no more requests of
// any kind than that from all daemons together, over sliding windows.
func serverLimitsKept(r *record) string {
	for id, spans := range r.limits {
		for _, named := range spans {
			to := named.Until
			if to.IsZero() {
				to = r.end
			}
			bound := serverLimitExcess*named.Rate*serverLimitWindow.Seconds() + serverLimitExtra
			for _, from := range r.called[id] {
				end := from.Add(serverLimitWindow)
				if from.Before(named.From.Add(contactTime)) || end.After(to) {
					continue
				}
				if n := within(r.called[id], from, end); float64(n) > bound {
					return fmt.Sprintf("named: %s got %d requests in a window from %v after it named a limit of %g a second, %.0f are allowed",
						id, n, from.Sub(named.From), named.Rate, bound)
				}
			}
		}
	}
	return ""
}

// withdrawals checks that withdrawn keys are refused in time, and for good once
// a daemon has refused one.
func withdrawals(r *record) string {
	for _, w := range r.withdrawn {
		due := r.settled(w.at).Add(applyTime)
		known := make(map[process]time.Time)
		for _, o := range r.calls {
			if o.call.Key == w.what && o.status == 401 {
				if at, ok := known[o.process()]; !ok || o.ended.Before(at) {
					known[o.process()] = o.ended
				}
			}
		}
		for _, o := range r.calls {
			if o.call.Key != w.what || !o.sealed {
				continue
			}
			if o.sent.After(due) && r.sound(o.daemon, w.at, o.sent, true) {
				return fmt.Sprintf("key: %s ran %v after its key was withdrawn", o.call.ID, o.sent.Sub(w.at))
			}
			if at, ok := known[o.process()]; ok && o.sent.After(at.Add(backTime)) {
				return fmt.Sprintf("key: %s ran after daemon %d had refused its key", o.call.ID, o.daemon)
			}
		}
	}
	return ""
}
