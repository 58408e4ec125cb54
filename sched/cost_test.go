package sched_test

import (
	"testing"

	"wasabidock.dev/dock/place"
)

// TestRequestBytes limits the bytes of all messages for a single request whose prompt has five
// block hashes. Heartbeats are not counted.
func TestRequestBytes(t *testing.T) {
	const limit = 1200 // bytes of a request
	w := newHeartbeatHarness(t, 0)
	req := request()
	req.RequestID, req.Customer, req.Model = "sierra-a-12.9223372036854788153.123456", "customer-123", "m"
	req.PromptTokens, req.BlockHashes = 5000, []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60, 5 << 60}
	p, err := w.client.Place(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("place request and response: %d bytes", w.wire.placeBytes)
	total := w.wire.placeBytes
	for _, s := range []struct {
		name   string
		stage  place.Stage
		output int64
	}{
		{"prefill", place.StagePrefill, 0}, {"transfer", place.StageTransfer, 0},
		{"decode", place.StageDecode, 0}, {"done", place.StageDone, 150},
	} {
		before := w.wire.bytes
		w.client.ReportProgress(p, s.stage, s.output)
		<-w.wire.seen
		t.Logf("%s: %d bytes", s.name, w.wire.bytes-before)
	}
	total += w.wire.bytes
	t.Logf("request: %d bytes in 5 calls", total)
	if total > limit {
		t.Errorf("the request takes %d bytes, want at most %d", total, limit)
	}
}
