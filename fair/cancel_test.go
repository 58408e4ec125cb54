package fair_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fair"
)

// TestRemovedItemsFreeMemory guards against a memory leak: the entries of cancelled items pile up
// in a list whose first item stays queued.
func TestRemovedItemsFreeMemory(t *testing.T) {
	const (
		cancelled = 5000
		limit     = 64 << 10 // bytes
	)
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000})
	push := func(id uint64) {
		_, ok := q.Push(fair.Item{ID: id, Customer: "a", Cost: 1, StartBy: time.Hour}, 0)
		is.True(ok)
	}
	push(1)
	before := heapBytes()
	for id := uint64(2); id < 2+cancelled; id++ {
		push(id)
		q.Remove(id)
	}
	if n := heapBytes() - before; n > limit {
		t.Errorf("%d cancelled items still use %d bytes, want at most %d", cancelled, n, limit)
	}
	push(2)
	for _, want := range []uint64{1, 2} {
		it, ok := q.Peek(true)
		is.True(ok)
		is.Equal(it.ID, want)
		q.Pop(it, 0)
	}
	is.Equal(q.Len(), 0)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
