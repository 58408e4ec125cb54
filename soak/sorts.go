package main

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// sortCalls is the number of calls of a sort from which they are compared with the others, and sortShare the part of the share of
	// all calls that must be served of each sort.
	sortCalls = 10
	sortShare = 0.25
)

// sort names what decides how a call is served.
func (o *outcome) sort() string {
	s := kindNames[o.call.Kind]
	if o.call.Plain {
		s += " of the plain service"
	}
	if o.call.Uncounted {
		s += " without a token count"
	}
	if len(o.call.Parts) > 0 {
		s += " with shared parts"
	}
	return s
}

// sorts checks that no sort of calls stays unserved once all trouble is over, while others are served.
func sorts(r *record) string {
	var all share
	by := make(map[string]*share)
	for _, o := range r.after() {
		if by[o.sort()] == nil {
			by[o.sort()] = &share{}
		}
		by[o.sort()].add(o.served())
		all.add(o.served())
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		if s := by[name]; s.n >= sortCalls && s.of() < sortShare*all.of() {
			return fmt.Sprintf("sorts: %s: %d of %d were served after the trouble, %d of %d of all calls", name, s.hits, s.n, all.hits, all.n)
		}
	}
	return ""
}

// withheld checks that the events of streams are passed on as they come: at servers that make them one after the other, most streams
// take half of that time at least from their first byte on.
func withheld(r *record) string {
	by := make(map[string]*share)
	for _, o := range r.after() {
		if !o.call.Kind.Stream() || !o.served() || o.first.IsZero() {
			continue
		}
		if by[o.sort()] == nil {
			by[o.sort()] = &share{}
		}
		by[o.sort()].add(o.ended.Sub(o.first) < streamEvents*streamPause/2)
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		if s := by[name]; s.n >= sortCalls && s.of() > 0.5 {
			return fmt.Sprintf("withheld: %s: %d of %d came at once at their end", name, s.hits, s.n)
		}
	}
	return ""
}
