package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// The bounds that the judge checks, as the platform specifies them.
const (
	// contactTime is the time after a disturbance in which a daemon need not meet time bounds.
	contactTime = 5 * time.Second
	// applyTime is the time within which a change of the configuration must be in force.
	applyTime = 4 * time.Second
	// backTime is the time after a change is first in force at a daemon in which the daemon may
	// still handle requests by the previous configuration.
	backTime = 250 * time.Millisecond
	// drainTime is the time within which daemons must stop using a draining server.
	drainTime = 4 * time.Second
	// goneTime is how long a server may work for a client that has disconnected.
	goneTime = 500 * time.Millisecond

	repeatWindow = 10 * time.Second
	repeatRatio  = 0.2
	repeatExtra  = 20.0

	limitWindow = 8 * time.Second
	limitExcess = 0.25
	// limitSlack is a fraction of the tokens of a window.
	limitSlack = 0.5

	// restSlack is the time after a Retry-After response in which requests may still arrive, and
	// restMost the number of requests that may arrive later.
	restSlack = 500 * time.Millisecond
	restMost  = 2

	// A server that names a limit gets at most serverLimitExcess times the limit and
	// serverLimitExtra requests in a serverLimitWindow, from contactTime after it has first
	// named the limit.
	serverLimitWindow = 4 * time.Second
	serverLimitExcess = 1.5
	serverLimitExtra  = 5.0

	// idleEndTime is the time within which a request fails that meets the end of its connection.
	idleEndTime = 300 * time.Millisecond

	// recoverShare is the share of calls that must be served settleTime after the last disturbance.
	recoverShare = 0.95
	settleTime   = 15 * time.Second
)

// judge returns the violated bounds of a record, each with an example.
func judge(r *record) []string {
	var broken []string
	for _, check := range []func(*record) string{
		whole, mixed, refusals, askedFor, repeats, limits, departures, leaving, rests, serverLimitsKept, withdrawals, lostAnswers, unanswered, leavers, fatalParts, besideFatalParts, abandoned, regions, coldServers, evacuations, recovery, sorts, withheld,
	} {
		if b := check(r); b != "" {
			broken = append(broken, b)
		}
	}
	if len(r.exits) > 0 {
		broken = append(broken, "exit: "+strings.Join(r.exits, "; "))
	}
	return broken
}

// whole checks that a success is the whole answer of a server that ran the
// request, and that a stream has each event once, in order, to the last.
func whole(r *record) string {
	for _, o := range r.calls {
		if o.status != 200 {
			continue
		}
		if !o.sealed {
			return fmt.Sprintf("whole: %s: a success without a server's seal", o.call.ID)
		}
		if o.echo != o.call.ID {
			return fmt.Sprintf("whole: %s: a success with the ID %q", o.call.ID, o.echo)
		}
		if o.call.Kind.Stream() {
			document := o.call.Plain && r.answered(o) // a faulty plain server may answer with one
			if why := stream(o); why != "" && !document {
				return fmt.Sprintf("whole: stream %s: %s: %q", o.call.ID, why, o.body)
			}
			continue
		}
		if o.complete && !r.answered(o) {
			return fmt.Sprintf("whole: %s: not the answer of a server: %q", o.call.ID, o.body)
		}
	}
	return ""
}

func (r *record) answered(o *outcome) bool {
	for id, runs := range r.runs {
		if o.body == fake.Answer(id, o.call.ID) {
			return slices.ContainsFunc(runs, func(u fake.Run) bool { return u.ID == o.call.ID })
		}
	}
	return false
}

// stream tells what is wrong with the events of a stream.
func stream(o *outcome) string {
	rest := o.body
	n := int64(0)
	for {
		after, ok := strings.CutPrefix(rest, fake.NamedEvent(o.call.ID, n+1))
		if !ok {
			break
		}
		rest = after
		n++
	}
	switch {
	case strings.Contains(rest, "\n\n"):
		return "an event is missing, comes twice or is not the server's"
	case o.complete && n < streamEvents:
		return "it ends as complete before its last event"
	}
	return ""
}

// mixed checks that runs and releases name only what servers gave to their own
// request. A run that may have come to nothing may name its KV handle once more.
func mixed(r *record) string {
	n, first := 0, ""
	for _, m := range r.misuses {
		if o := r.call(m.ID); m.Again && o != nil && !r.calmServers(o) {
			continue
		}
		if n++; n == 1 {
			first = m.What
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("mixed: %d times, first %s", n, first)
}

// refusals checks that what must not run twice has not, and that what was
// refused has not run.
func refusals(r *record) string {
	count := make(map[string]int)
	for _, runs := range r.runs {
		for _, u := range runs {
			count[u.ID]++
		}
	}
	for _, o := range r.calls {
		if !o.call.Kind.AtMostOnce() {
			continue
		}
		n := count[o.call.ID]
		if n > 1 {
			return fmt.Sprintf("twice: %s ran %d times", o.call.ID, n)
		}
		if n > 0 && (o.status == 429 || o.status == 503 || o.status == 408 || o.status == 421) {
			return fmt.Sprintf("refused: %s was answered %d and has run", o.call.ID, o.status)
		}
	}
	return ""
}

// askedFor checks that servers run what clients sent, for its customer.
func askedFor(r *record) string {
	calls := make(map[string]*outcome, len(r.calls))
	for _, o := range r.calls {
		calls[o.call.ID] = o
	}
	for id, runs := range r.runs {
		for _, u := range runs {
			o := calls[u.ID]
			switch {
			case o == nil:
				return fmt.Sprintf("unasked: %s ran %q, which no client sent", id, u.ID)
			case u.Path != o.call.Path() || u.Body != o.call.Body() && u.Body != fake.Unread || u.Method != "POST":
				return fmt.Sprintf("unasked: %s ran %s as %s %s %.80q", id, u.ID, u.Method, u.Path, u.Body)
			case u.Customer() != o.customer:
				return fmt.Sprintf("unasked: %s ran %s of %q for %q", id, u.ID, o.customer, u.Customer())
			}
		}
	}
	return ""
}

// repeats checks the bound on what servers get beyond the first of each
// request, over sliding windows.
func repeats(r *record) string {
	for _, plain := range []bool{true, false} {
		var sent, extra []time.Time
		for _, o := range r.calls {
			if (o.call.Service() == fake.PlainService) == plain {
				sent = append(sent, o.sent)
			}
		}
		seen := make(map[string]bool)
		for _, a := range r.ordered(plain) {
			if seen[a.ID] {
				extra = append(extra, a.At)
			}
			seen[a.ID] = true
		}
		for i := range extra {
			from := extra[i]
			to := from.Add(repeatWindow)
			bound := repeatRatio*float64(max(within(sent, from, to), within(sent, from.Add(-repeatWindow), from),
				within(sent, from.Add(-repeatWindow/2), to.Add(-repeatWindow/2)))) + repeatExtra
			if n := within(extra, from, to); float64(n) > bound {
				return fmt.Sprintf("repeats: %d in a window, %.0f are allowed", n, bound)
			}
		}
	}
	return ""
}

// ordered returns the arrivals at the plain or the model servers by time,
// without those that only have the prompt read.
func (r *record) ordered(plain bool) []fake.Arrival {
	var all []fake.Arrival
	for id, list := range r.arrivals {
		if strings.HasPrefix(id, fake.PlainService) != plain {
			continue
		}
		for _, a := range list {
			if !a.Prefill {
				all = append(all, a)
			}
		}
	}
	slices.SortFunc(all, func(a, b fake.Arrival) int { return a.At.Compare(b.At) })
	return all
}

// within counts the instants in [from, to).
func within(at []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// limits checks each customer's rate and burst over sliding windows.
func limits(r *record) string {
	type use struct {
		at     time.Time
		tokens float64
	}
	uses := make(map[string][]use)
	for id, runs := range r.runs {
		for _, u := range runs {
			tokens := float64(fake.PlainTokens)
			if !strings.HasPrefix(id, fake.PlainService) {
				prompt, output := fake.Call{}.Tokens()
				tokens = float64(prompt + output)
			}
			uses[u.Customer()] = append(uses[u.Customer()], use{u.Start, tokens})
		}
	}
	for name, list := range uses {
		slices.SortFunc(list, func(a, b use) int { return a.at.Compare(b.at) })
		c := r.customers[name]
		owed := c.Rate*limitWindow.Seconds() + c.Burst
		bound := owed*(1+limitExcess) + owed*limitSlack
		sum, first := 0.0, 0
		for _, u := range list {
			sum += u.tokens
			for u.at.Sub(list[first].at) > limitWindow {
				sum -= list[first].tokens
				first++
			}
			if sum > bound {
				return fmt.Sprintf("limits: %s ran %.0f tokens in a window, %.0f are allowed", name, sum, bound)
			}
		}
	}
	return ""
}

// lostAnswers checks that a planned stop of a daemon cuts nothing.
func lostAnswers(r *record) string {
	for _, o := range r.calls {
		if o.complete || !o.left.IsZero() || !r.sound(o.daemon, o.sent, o.ended, false) {
			continue
		}
		if o.ended.Sub(o.sent) > fake.RouteTimeout*9/10 {
			continue // the time-out of its route
		}
		for id, list := range r.arrivals {
			i := slices.IndexFunc(list, func(a fake.Arrival) bool { return a.ID == o.call.ID && !a.Prefill })
			if i >= 0 && r.calmServers(o) {
				return fmt.Sprintf("lost: %s had no whole answer, it came to %s", o.call.ID, id)
			}
		}
	}
	return ""
}

// unanswered checks that a request whose body is being sent gets an answer, also from a daemon that is stopped as planned. It leaves
// out requests that may have met the end of an idle connection.
func unanswered(r *record) string {
	for _, o := range r.calls {
		if o.slow < idleEndTime || o.status != 0 || !o.left.IsZero() || o.ended.Sub(o.sent) < idleEndTime {
			continue
		}
		if r.sound(o.daemon, o.sent, o.ended, false) && r.calmServers(o) {
			return fmt.Sprintf("unanswered: %s, whose body took %v, had no answer after %v", o.call.ID, o.slow, o.ended.Sub(o.sent))
		}
	}
	return ""
}

// calmServers reports whether no server was in trouble while a call ran: any of
// them may have broken its answer off.
func (r *record) calmServers(o *outcome) bool {
	for _, spans := range r.servers {
		if !untouched(spans, o.sent, o.ended, time.Second) {
			return false
		}
	}
	return true
}

// leavers checks that servers stop working for clients that have left.
func leavers(r *record) string {
	left := make(map[string]*outcome)
	for _, o := range r.calls {
		if !o.left.IsZero() && r.sound(o.daemon, o.sent, o.left.Add(goneTime), true) {
			left[o.call.ID] = o
		}
	}
	worked, last := 0, ""
	for id, runs := range r.runs {
		for _, u := range runs {
			o := left[u.ID]
			if o == nil || !untouched(r.servers[id], o.sent, o.left.Add(goneTime), time.Second) {
				continue
			}
			if !untouched(r.frozen[id], o.sent, o.left.Add(goneTime), 0) {
				continue // it does not see that the client has left
			}
			if end := u.End; end.IsZero() || end.After(o.left.Add(goneTime)) {
				worked++
				last = u.ID + " at " + id
			}
		}
	}
	if worked > max(3, len(left)/4) {
		return fmt.Sprintf("gone: servers worked on for %d of %d clients that had left, the last %s", worked, len(left), last)
	}
	return ""
}

// after returns the calls that must be served once all trouble is over: those that are neither beyond a customer's limit nor without a key.
func (r *record) after() []*outcome {
	var all []*outcome
	for _, o := range r.calls {
		if o.sent.Before(r.calm.Add(settleTime)) || !o.left.IsZero() || o.status == 401 || o.customer == floodName || r.isFatal(o) {
			continue
		}
		all = append(all, o)
	}
	return all
}

// recovery checks that calls are served once all trouble is over.
func recovery(r *record) string {
	asked, served := 0, 0
	for _, o := range r.after() {
		asked++
		if o.served() {
			served++
		}
	}
	if asked == 0 {
		return "recovery: nothing was asked for after the trouble"
	}
	if float64(served) < recoverShare*float64(asked) {
		return fmt.Sprintf("recovery: %d of %d calls were served after the trouble", served, asked)
	}
	return ""
}
