package fair

import "container/heap"

var _ heap.Interface = (*customerHeap)(nil)

// customerHeap is a heap of the customers that have items of one priority, ordered by tag and then
// by name. It implements heap.Interface.
type customerHeap struct {
	priority  Priority
	customers []*customer
}

func (h *customerHeap) Len() int { return len(h.customers) }

func (h *customerHeap) Less(i, j int) bool {
	a, b := h.customers[i], h.customers[j]
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (h *customerHeap) Swap(i, j int) {
	h.customers[i], h.customers[j] = h.customers[j], h.customers[i]
	h.customers[i].heapIndex[h.priority] = i
	h.customers[j].heapIndex[h.priority] = j
}

func (h *customerHeap) Push(x any) {
	c := x.(*customer)
	c.heapIndex[h.priority] = len(h.customers)
	h.customers = append(h.customers, c)
}

func (h *customerHeap) Pop() any {
	n := len(h.customers) - 1
	c := h.customers[n]
	h.customers[n] = nil
	h.customers = h.customers[:n]
	c.heapIndex[h.priority] = -1
	return c
}

// compactSlack delays the compaction of a list. A list is compacted when it has more entries, with the
// removed ones, than twice the entries that are not removed plus compactSlack.
const compactSlack = 16

// list is a queue of entries in the order of arrival. Removed entries stay in it until they reach
// the head or outnumber the others.
type list struct {
	entries []*entry
	first   int // index of the head in entries
	n       int // number of entries that are not removed
}

func (l *list) push(e *entry) {
	if l.first > 0 && len(l.entries) == cap(l.entries) {
		l.entries = l.entries[:copy(l.entries, l.entries[l.first:])]
		l.first = 0
	}
	l.entries = append(l.entries, e)
	l.n++
}

// head returns the entry at the head. The list must not be empty.
func (l *list) head() *entry { return l.entries[l.first] }

// trim drops the removed entries at the head and appends them to free. If many removed entries are
// left behind the head, it drops these too.
func (l *list) trim(free []*entry) []*entry {
	for l.first < len(l.entries) && l.entries[l.first].removed {
		free = append(free, l.entries[l.first])
		l.entries[l.first] = nil
		l.first++
	}
	if l.first == len(l.entries) {
		l.entries = l.entries[:0]
		l.first = 0
	}
	if len(l.entries)-l.first > 2*l.n+compactSlack {
		free = l.compact(free)
	}
	return free
}

// compact drops all removed entries and appends them to free.
func (l *list) compact(free []*entry) []*entry {
	kept := l.entries[:0]
	for _, e := range l.entries[l.first:] {
		if e.removed {
			free = append(free, e)
			continue
		}
		kept = append(kept, e)
	}
	clear(l.entries[len(kept):])
	l.entries, l.first = kept, 0
	return free
}
