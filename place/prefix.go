package place

import (
	"math/bits"
	"slices"
)

const (
	// maxHintedServers is the largest number of servers of a pool that have prefix cache hints.
	maxHintedServers = 256
	// maxCachedBlocks is the largest number of blocks in the hints on one server.
	maxCachedBlocks = 1024
)

// serverSet is a bit set of server indices.
type serverSet [maxHintedServers / 64]uint64

func (s *serverSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s *serverSet) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *serverSet) drop(i int)     { s[i/64] &^= 1 << (i % 64) }
func (s *serverSet) empty() bool    { return s[0]|s[1]|s[2]|s[3] == 0 }

// prefixIndex holds hints on which servers have which blocks in their prefix caches. Its maps are
// keyed by block hash.
type prefixIndex struct {
	holders    map[uint64]serverSet
	referenced map[uint64]serverSet // servers for which the block was added again since their clock hand passed it
	views      []cacheView
}

// cacheView holds the hints on one server: its blocks, each once, and the last event applied. When
// the ring is full, blocks are replaced by the second-chance (clock) algorithm.
type cacheView struct {
	ring []uint64
	next int    // index in ring of the clock hand
	seq  uint64 // sequence number of the last event
}

func newPrefixIndex(n int) *prefixIndex {
	return &prefixIndex{holders: make(map[uint64]serverSet), referenced: make(map[uint64]serverSet), views: make([]cacheView, n)}
}

// apply applies a cache event of server i. A gap in the sequence numbers clears the hints on the
// server first.
func (x *prefixIndex) apply(i int, e *CacheEvent) {
	if i >= maxHintedServers {
		return
	}
	v := &x.views[i]
	switch {
	case e.Seq == v.seq && e.Seq != 0:
		return
	case e.Seq != v.seq+1:
		x.reset(i)
	}
	v.seq = e.Seq
	for _, h := range e.Evicted {
		x.remove(h, i)
	}
	x.add(i, e.Added)
}

// add records that server i has the blocks.
func (x *prefixIndex) add(i int, blocks []uint64) {
	if i >= maxHintedServers {
		return
	}
	for _, h := range blocks {
		s := x.holders[h]
		if s.has(i) {
			addServer(x.referenced, h, i)
			continue
		}
		addServer(x.holders, h, i)
		x.insert(i, h)
	}
}

// insert puts h in the ring of server i. If the ring is full, h replaces the first block from the
// clock hand on that was not added again.
func (x *prefixIndex) insert(i int, h uint64) {
	v := &x.views[i]
	if len(v.ring) < maxCachedBlocks {
		v.ring = append(v.ring, h)
		return
	}
	for removeServer(x.referenced, v.ring[v.next], i) {
		v.next = (v.next + 1) % maxCachedBlocks
	}
	removeServer(x.holders, v.ring[v.next], i)
	v.ring[v.next] = h
	v.next = (v.next + 1) % maxCachedBlocks
}

// remove records that server i has evicted h from its cache.
func (x *prefixIndex) remove(h uint64, i int) {
	if !removeServer(x.holders, h, i) {
		return
	}
	removeServer(x.referenced, h, i)
	v := &x.views[i]
	n := len(v.ring) - 1
	v.ring[slices.Index(v.ring, h)] = v.ring[n]
	v.ring = v.ring[:n]
	if v.next >= n {
		v.next = 0
	}
}

// addServer adds server i to the set of h.
func addServer(m map[uint64]serverSet, h uint64, i int) {
	s := m[h]
	s.add(i)
	m[h] = s
}

// removeServer removes server i from the set of h and reports whether it was in the set.
func removeServer(m map[uint64]serverSet, h uint64, i int) bool {
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

// reset clears the hints on server i.
func (x *prefixIndex) reset(i int) {
	v := &x.views[i]
	for _, h := range v.ring {
		removeServer(x.holders, h, i)
		removeServer(x.referenced, h, i)
	}
	v.ring = v.ring[:0]
	v.next = 0
}

// match sets depth, for each server, to the number of leading blocks that the server has.
func (x *prefixIndex) match(blocks []uint64, depth []uint16) {
	clear(depth)
	var matching serverSet
	for n, h := range blocks {
		s, ok := x.holders[h]
		if !ok {
			return
		}
		if n == 0 {
			matching = s
		}
		found := false
		for w := range matching {
			matching[w] &= s[w]
			found = found || matching[w] != 0
		}
		if !found {
			return
		}
		matching.setDepth(depth, uint16(n+1))
	}
}

// setDepth sets depth to n for the servers in the set.
func (s *serverSet) setDepth(depth []uint16, n uint16) {
	for w, word := range s {
		for ; word != 0; word &= word - 1 {
			depth[w*64+bits.TrailingZeros64(word)] = n
		}
	}
}
