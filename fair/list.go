package fair

import "container/heap"

var _ heap.Interface = (*byTag)(nil)

// byTag is a heap of the customers that have items of one rank.
type byTag struct {
	rank Priority
	set  []*customer
}

func (h *byTag) Len() int { return len(h.set) }

func (h *byTag) Less(i, j int) bool {
	a, b := h.set[i], h.set[j]
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (h *byTag) Swap(i, j int) {
	h.set[i], h.set[j] = h.set[j], h.set[i]
	h.set[i].pos[h.rank] = i
	h.set[j].pos[h.rank] = j
}

func (h *byTag) Push(x any) {
	c := x.(*customer)
	c.pos[h.rank] = len(h.set)
	h.set = append(h.set, c)
}

func (h *byTag) Pop() any {
	n := len(h.set) - 1
	c := h.set[n]
	h.set[n] = nil
	h.set = h.set[:n]
	c.pos[h.rank] = -1
	return c
}

// minCompact is the number of entries that may be gone in any list.
const minCompact = 16

// list holds entries in the order of their arrival. Entries that are gone
// stay until they reach the head or outnumber the others.
type list struct {
	set   []*entry
	first int
	n     int // entries that are not gone
}

func (l *list) push(e *entry) {
	if l.first > 0 && len(l.set) == cap(l.set) {
		l.set = l.set[:copy(l.set, l.set[l.first:])]
		l.first = 0
	}
	l.set = append(l.set, e)
	l.n++
}

func (l *list) head() *entry { return l.set[l.first] }

// trim gives up the entries at the head that are gone, or all that are gone if
// they are many, and appends them to free.
func (l *list) trim(free []*entry) []*entry {
	for l.first < len(l.set) && l.set[l.first].gone {
		free = append(free, l.set[l.first])
		l.set[l.first] = nil
		l.first++
	}
	if l.first == len(l.set) {
		l.set = l.set[:0]
		l.first = 0
	}
	if len(l.set)-l.first > 2*l.n+minCompact {
		free = l.compact(free)
	}
	return free
}

// compact gives up all entries that are gone and appends them to free.
func (l *list) compact(free []*entry) []*entry {
	kept := l.set[:0]
	for _, e := range l.set[l.first:] {
		if e.gone {
			free = append(free, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(l.set[len(kept):])
	l.set, l.first = kept, 0
	return free
}
