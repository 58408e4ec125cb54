package limit

import "sort"

// maxSpans bounds the number of spans of a bucket. Above it neighbours are
// joined under the smaller room, which can only make a credit smaller.
const maxSpans = 512

// rooms tells for each open charge the least room that the bucket had since
// the charge was spent. Earlier charges have seen more instants, so the room
// never falls from one span to the next.
type rooms struct {
	spans []span
}

// span is a run of charges with the same room.
type span struct {
	first uint64 // serial
	open  int    // charges not settled
	room  int64  // microtokens
}

// push adds a charge later than all others.
func (r *rooms) push(serial uint64, room int64) {
	r.lower(room)
	if n := len(r.spans); n > 0 && r.spans[n-1].room == room {
		r.spans[n-1].open++
		return
	}
	if len(r.spans) >= maxSpans {
		r.halve()
	}
	r.spans = append(r.spans, span{serial, 1, room})
}

// lower notes that the bucket had this room at an instant after all charges.
func (r *rooms) lower(room int64) {
	room = max(room, 0)
	n := len(r.spans)
	if n == 0 || r.spans[n-1].room <= room {
		return
	}
	i := n - 1
	open := r.spans[i].open
	for i > 0 && r.spans[i-1].room >= room {
		i--
		open += r.spans[i].open
	}
	r.spans[i].open = open
	r.spans[i].room = room
	r.spans = r.spans[:i+1]
}

// settle removes a charge and returns what of unused the bucket takes back.
// From the charge on the bucket then had that much less room.
func (r *rooms) settle(serial uint64, unused int64) int64 {
	i := sort.Search(len(r.spans), func(i int) bool { return r.spans[i].first > serial }) - 1
	if i < 0 {
		return 0
	}
	credit := min(unused, r.spans[i].room)
	if credit > 0 {
		for j := i; j < len(r.spans); j++ {
			r.spans[j].room -= credit
		}
	}
	r.spans[i].open--
	for i > 0 && r.spans[i-1].room >= r.spans[i].room {
		r.spans[i-1].room = r.spans[i].room
		r.spans[i-1].open += r.spans[i].open
		r.remove(i)
		i--
	}
	if r.spans[i].open == 0 {
		r.remove(i)
	}
	return credit
}

func (r *rooms) remove(i int) {
	r.spans = append(r.spans[:i], r.spans[i+1:]...)
}

// halve joins each pair of neighbours.
func (r *rooms) halve() {
	joined := r.spans[:0]
	for i, s := range r.spans {
		if i%2 == 0 {
			joined = append(joined, s)
			continue
		}
		joined[len(joined)-1].open += s.open
	}
	r.spans = joined
}
