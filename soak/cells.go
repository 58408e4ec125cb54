package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// cell is a kind of call, the moment at which a sound server fell silent in its response, and what other servers did about it.
type cell struct{ call, moment, others string }

// cells counts the silences that calls met, by cell.
type cells map[cell]*tally

// tally counts silences, and those whose calls failed or have no whole answer.
type tally struct{ met, unserved int }

var kindNames = [fake.Kinds]string{"mutating", "idempotent", "stream", "stream once"}

var momentNames = [fake.Moments]string{
	"after an event", "after the head", "inside an event", "inside the end", "inside a body with a length", "inside a body without a length",
}

// momentName returns the name of the moment of a pause in the response to a call.
func momentName(p fake.Pause, c fake.Call) string {
	switch {
	case p.BeforeHead():
		return "before the head"
	case p.Moment == fake.SilentAfterEvent && p.Event == int64(cmp.Or(c.Events, streamEvents)):
		return "after the last event"
	default:
		return momentNames[p.Moment]
	}
}

// add counts the silences of a record.
func (t cells) add(r *record) {
	calls := make(map[string]*outcome, len(r.calls))
	for _, o := range r.calls {
		calls[o.call.ID] = o
	}
	for server, pauses := range r.pauses {
		for _, p := range pauses {
			o := calls[p.ID]
			if o == nil || p.Call != fake.RunCall || r.harmed(server, o.sent, o.ended) {
				continue
			}
			c := cell{kindNames[o.call.Kind], momentName(p, o.call), r.othersAfter(server, p)}
			if t[c] == nil {
				t[c] = &tally{}
			}
			t[c].met++
			if r.unserved(o) {
				t[c].unserved++
			}
		}
	}
}

// othersAfter tells what the last other server did that was to run the call after the beginning of a pause.
func (r *record) othersAfter(server string, p fake.Pause) string {
	did := "were not asked"
	for _, x := range r.exchanges(p.ID) {
		if x.server == server || x.from.Before(p.At) {
			continue
		}
		fault := r.faultAt(x.server, x.from)
		switch {
		case fault != fake.NoFault:
			did = string(fault)
		case r.harmed(x.server, x.from, cmp.Or(x.to, r.end)):
			did = "were disturbed"
		case x.silent:
			did = "were silent too"
		case x.left:
			did = "were left"
		default:
			did = "went on"
		}
	}
	return did
}

// misbehaviour is a time in which a server had a fault.
type misbehaviour struct {
	span
	fault fake.Fault
}

func (r *record) misbehaved(id string, at span, fault fake.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[id] = append(r.faults[id], misbehaviour{at, fault})
}

// faultAt returns the fault that a server had at an instant.
func (r *record) faultAt(id string, t time.Time) fake.Fault {
	for _, m := range r.faults[id] {
		if !t.Before(m.from) && t.Before(m.to) {
			return m.fault
		}
	}
	return fake.NoFault
}

// write prints the cells.
func (t cells) write(out io.Writer) {
	order := func(a, b cell) int {
		return cmp.Or(strings.Compare(a.call, b.call), strings.Compare(a.moment, b.moment), strings.Compare(a.others, b.others))
	}
	for _, c := range slices.SortedFunc(maps.Keys(t), order) {
		_, _ = fmt.Fprintf(out, "  silent: %s, %s, others %s: %d, %d without a whole answer\n", c.call, c.moment, c.others, t[c].met, t[c].unserved)
	}
}
