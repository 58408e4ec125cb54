package place_test

import (
	"fmt"
	"runtime"
	"testing"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
)

// TestHintMemoryIsBounded guards against prefix cache hints that grow without bound: each of 100
// servers reports far more blocks than its hints hold.
func TestHintMemoryIsBounded(t *testing.T) {
	const limit = 16 << 20 // bytes
	p := newPool(100, 1)
	before := heapBytes()
	for i := range 100 {
		for seq := range 64 {
			var add []uint64
			for k := range 256 {
				add = append(add, uint64(i)<<32|uint64(seq*256+k+1))
			}
			p.ApplyCacheEvent(place.CacheEvent{Server: ident.Server(fmt.Sprintf("p%d", i+1)), Seq: uint64(seq + 1), Added: add})
		}
	}
	if n := heapBytes() - before; n > limit {
		t.Errorf("hints on 100 servers use %d bytes, want at most %d", n, limit)
	}
	runtime.KeepAlive(p)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
