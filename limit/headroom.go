package limit

import "sort"

// maxSpans is the largest number of spans of a tracker; it bounds the memory of a bucket. Above it,
// adjacent spans are merged and take the smaller headroom, which can only make a refund smaller.
const maxSpans = 512

// headroomTracker records, for each unsettled charge, the minimum headroom of the bucket since the
// charge was spent. The minimum of an earlier charge covers a longer time, so the headroom never
// decreases from one span to the next.
type headroomTracker struct {
	spans []span
}

// span is a run of consecutive charges with the same headroom.
type span struct {
	first     uint64 // serial of the first charge
	unsettled int    // number of charges not settled
	headroom  int64  // microtokens
}

// push adds a charge that was spent after all others.
func (t *headroomTracker) push(serial uint64, headroom int64) {
	t.lower(headroom)
	if n := len(t.spans); n > 0 && t.spans[n-1].headroom == headroom {
		t.spans[n-1].unsettled++
		return
	}
	if len(t.spans) >= maxSpans {
		t.mergePairs()
	}
	t.spans = append(t.spans, span{serial, 1, headroom})
}

// lower records the headroom of the bucket at a time after all charges were spent.
func (t *headroomTracker) lower(headroom int64) {
	headroom = max(headroom, 0)
	n := len(t.spans)
	if n == 0 || t.spans[n-1].headroom <= headroom {
		return
	}
	i := n - 1
	open := t.spans[i].unsettled
	for i > 0 && t.spans[i-1].headroom >= headroom {
		i--
		open += t.spans[i].unsettled
	}
	t.spans[i].unsettled = open
	t.spans[i].headroom = headroom
	t.spans = t.spans[:i+1]
}

// settle removes a charge and returns how many of the unused microtokens the bucket can accept. The
// headroom of every time since the charge was spent is reduced by this amount.
func (t *headroomTracker) settle(serial uint64, unused int64) int64 {
	i := sort.Search(len(t.spans), func(i int) bool { return t.spans[i].first > serial }) - 1
	if i < 0 {
		return 0
	}
	credit := min(unused, t.spans[i].headroom)
	if credit > 0 {
		for j := i; j < len(t.spans); j++ {
			t.spans[j].headroom -= credit
		}
	}
	t.spans[i].unsettled--
	for i > 0 && t.spans[i-1].headroom >= t.spans[i].headroom {
		t.spans[i-1].headroom = t.spans[i].headroom
		t.spans[i-1].unsettled += t.spans[i].unsettled
		t.remove(i)
		i--
	}
	if t.spans[i].unsettled == 0 {
		t.remove(i)
	}
	return credit
}

func (t *headroomTracker) remove(i int) {
	t.spans = append(t.spans[:i], t.spans[i+1:]...)
}

// mergePairs merges each pair of adjacent spans.
func (t *headroomTracker) mergePairs() {
	joined := t.spans[:0]
	for i, s := range t.spans {
		if i%2 == 0 {
			joined = append(joined, s)
			continue
		}
		joined[len(joined)-1].unsettled += s.unsettled
	}
	t.spans = joined
}
