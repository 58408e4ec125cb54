package place

import (
	"math/bits"
	"slices"
)

const (
	// maxHinted is the most servers of a pool that prefix hints cover.
	maxHinted = 256
	// maxPieces is the most pieces that a server's view holds.
	maxPieces = 1024
)

// servers is a set of server indices.
type servers [maxHinted / 64]uint64

func (s *servers) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s *servers) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *servers) drop(i int)     { s[i/64] &^= 1 << (i % 64) }
func (s *servers) empty() bool    { return s[0]|s[1]|s[2]|s[3] == 0 }

// prefixes holds hints on which servers have which pieces in their caches.
type prefixes struct {
	at    map[uint64]servers
	used  map[uint64]servers // learnt again since the view's hand passed them
	views []view
}

// view is the part of the hints on one server: its pieces, each once, and the
// last event applied. A full ring gives the room of pieces up by second chance.
type view struct {
	ring []uint64
	next int // the hand
	seq  uint64
}

func newPrefixes(n int) *prefixes {
	return &prefixes{at: make(map[uint64]servers), used: make(map[uint64]servers), views: make([]view, n)}
}

// apply takes an event of server i in. After a gap the view starts afresh.
func (x *prefixes) apply(i int, e *CacheEvent) {
	if i >= maxHinted {
		return
	}
	v := &x.views[i]
	switch {
	case e.Seq == v.seq && e.Seq != 0:
		return
	case e.Seq != v.seq+1:
		x.forget(i)
	}
	v.seq = e.Seq
	for _, h := range e.Evicted {
		x.evict(h, i)
	}
	x.learn(i, e.Added)
}

// learn notes that server i has the pieces.
func (x *prefixes) learn(i int, pieces []uint64) {
	if i >= maxHinted {
		return
	}
	for _, h := range pieces {
		s := x.at[h]
		if s.has(i) {
			include(x.used, h, i)
			continue
		}
		include(x.at, h, i)
		x.remember(i, h)
	}
}

// remember puts h in the ring of server i. In a full ring it takes the room of
// the first piece from the hand on that was not learnt again.
func (x *prefixes) remember(i int, h uint64) {
	v := &x.views[i]
	if len(v.ring) < maxPieces {
		v.ring = append(v.ring, h)
		return
	}
	for exclude(x.used, v.ring[v.next], i) {
		v.next = (v.next + 1) % maxPieces
	}
	exclude(x.at, v.ring[v.next], i)
	v.ring[v.next] = h
	v.next = (v.next + 1) % maxPieces
}

// evict notes that server i has dropped h from its cache.
func (x *prefixes) evict(h uint64, i int) {
	if !exclude(x.at, h, i) {
		return
	}
	exclude(x.used, h, i)
	v := &x.views[i]
	n := len(v.ring) - 1
	v.ring[slices.Index(v.ring, h)] = v.ring[n]
	v.ring = v.ring[:n]
	if v.next >= n {
		v.next = 0
	}
}

// include adds server i to the set of h.
func include(m map[uint64]servers, h uint64, i int) {
	s := m[h]
	s.add(i)
	m[h] = s
}

// exclude takes server i out of the set of h and reports whether it was there.
func exclude(m map[uint64]servers, h uint64, i int) bool {
	s, ok := m[h]
	if !ok || !s.has(i) {
		return false
	}
	s.drop(i)
	if s.empty() {
		delete(m, h)
	} else {
		m[h] = s
	}
	return true
}

// forget drops all that is known of server i.
func (x *prefixes) forget(i int) {
	v := &x.views[i]
	for _, h := range v.ring {
		exclude(x.at, h, i)
		exclude(x.used, h, i)
	}
	v.ring = v.ring[:0]
	v.next = 0
}

// match writes for each server the number of leading pieces that it has into
// depth.
func (x *prefixes) match(pieces []uint64, depth []uint16) {
	clear(depth)
	var live servers
	for n, h := range pieces {
		s, ok := x.at[h]
		if !ok {
			return
		}
		if n == 0 {
			live = s
		}
		any := false
		for w := range live {
			live[w] &= s[w]
			any = any || live[w] != 0
		}
		if !any {
			return
		}
		live.each(depth, uint16(n+1))
	}
}

// each sets the depth of the servers in the set.
func (s *servers) each(depth []uint16, n uint16) {
	for w, set := range s {
		for ; set != 0; set &= set - 1 {
			depth[w*64+bits.TrailingZeros64(set)] = n
		}
	}
}
