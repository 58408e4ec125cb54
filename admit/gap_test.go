package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wasabidock.dev/dock/route"
)

// The load of these tests: 1.5 times the prompts that the prefill servers can prefill without a
// queue, so that decode servers would often start earlier. In each step a decode server makes one
// token for each of its streams, or one token and one chunk of a prompt. Seven tokens are one
// event.
const (
	gapDecodeServers   = 6
	gapPrefillServers  = 3
	gapDuration        = 30 * time.Second
	gapRequestInterval = 45 * time.Millisecond // mean time between requests
	gapPromptTokens    = 3_200
	gapChunkTokens     = 1_024 // prompt tokens that a decode server prefills in a step
	gapChunkTime       = 62 * time.Millisecond
	gapStepTime        = 8 * time.Millisecond
	gapTokensPerEvent  = 7
	gapOutputTokens    = 210
	gapLimit           = 300 * time.Millisecond
	gapKVTokens        = 60_000
)

// gapStream is a request at a decode server.
type gapStream struct {
	p           *Placement
	unprefilled int // prompt tokens that the decode server has yet to prefill
	tokens      int
	last        time.Duration // time at which its last event was sent
	first       time.Duration
	maxGap      time.Duration
	due         time.Duration
}

// gapSim is one instance in front of servers that prefill and decode in steps.
type gapSim struct {
	gap       time.Duration // gap target of the requests, 0 to ignore gaps
	balancer  *Balancer
	servers   []*route.Server
	streams   map[*route.Server][]*gapStream
	stepEnd   map[*route.Server]time.Duration // end of the current step of a decode server
	busyUntil map[*route.Server]time.Duration // end of the queue of a prefill server
	transfers map[*gapStream]time.Duration    // end of the prefill of streams that another server prefills

	requests, onTime, stalled, localPrefills int
}

func (s *gapSim) step(d *route.Server, now time.Duration) {
	took := gapStepTime
	var kept []*gapStream
	prefilled := false
	for _, st := range s.streams[d] {
		if st.unprefilled > 0 {
			if !prefilled {
				st.unprefilled -= gapChunkTokens
				took += gapChunkTime
				prefilled = true
			}
			kept = append(kept, st)
			continue
		}
		if st.tokens++; st.tokens%gapTokensPerEvent == 1 {
			s.event(st, now)
		}
		if st.tokens < gapOutputTokens {
			kept = append(kept, st)
			continue
		}
		s.end(st)
	}
	s.streams[d] = kept
	s.stepEnd[d] = now + took
}

func (s *gapSim) event(st *gapStream, now time.Duration) {
	if st.first == 0 {
		st.first, st.last = now, now
		s.balancer.PrefillDone(st.p, 0)
		return
	}
	st.maxGap = max(st.maxGap, now-st.last)
	st.last = now
}

func (s *gapSim) end(st *gapStream) {
	s.balancer.ObserveGap(st.p, (st.last-st.first)/(gapOutputTokens/gapTokensPerEvent))
	s.balancer.Release(st.p)
	switch {
	case st.maxGap > gapLimit:
		s.stalled++
	case st.first <= st.due:
		s.onTime++
	}
}

func (s *gapSim) place(now time.Duration) {
	req := Request{Prompt: gapPromptTokens, Output: gapOutputTokens, Due: now + simLatencyTarget, Deadline: now + simMaxWait, GapTarget: s.gap}
	s.requests++
	p, ok := s.balancer.Place(req, s.servers, &route.Engine{Slots: 64, KVTokens: gapKVTokens}, now)
	if !ok {
		return
	}
	st := &gapStream{p: p, due: req.Due}
	if p.Prefill == nil {
		s.localPrefills++
		st.unprefilled = gapPromptTokens
		s.streams[p.Decode] = append(s.streams[p.Decode], st)
		return
	}
	begin := max(s.busyUntil[p.Prefill], now)
	s.busyUntil[p.Prefill] = begin + prefillOverhead + toDuration(float64(gapPromptTokens)/simPrefillRate)
	s.transfers[st] = s.busyUntil[p.Prefill]
}

func (s *gapSim) run(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	nextArrival := time.Duration(0)
	for now := time.Millisecond; now < gapDuration; now += time.Millisecond {
		for now >= nextArrival {
			s.place(now)
			nextArrival += time.Duration(rnd.ExpFloat64() * float64(gapRequestInterval))
		}
		for st, at := range s.transfers {
			if now >= at {
				s.balancer.PrefillDone(st.p, 0)
				s.streams[st.p.Decode] = append(s.streams[st.p.Decode], st)
				delete(s.transfers, st)
			}
		}
		for _, d := range s.servers {
			if d.Stage == route.StageDecode && len(s.streams[d]) > 0 && now >= s.stepEnd[d] {
				s.step(d, now)
			}
		}
	}
}

func newGapSim(gap time.Duration) *gapSim {
	s := &gapSim{
		gap: gap, balancer: NewBalancer(Config{Centre: "c", Region: "r"}), streams: make(map[*route.Server][]*gapStream),
		stepEnd: make(map[*route.Server]time.Duration), busyUntil: make(map[*route.Server]time.Duration),
		transfers: make(map[*gapStream]time.Duration),
	}
	for i := range gapDecodeServers + gapPrefillServers {
		st := route.StageDecode
		if i >= gapDecodeServers {
			st = route.StagePrefill
		}
		s.servers = append(s.servers, server(fmt.Sprint("s", i), "c", "r", st))
	}
	return s
}

// TestLocalPrefillKeepsGapTarget guards against prompts that stall the running streams of the
// decode server that prefills them. It runs the load with the gap target, and without it as the
// baseline.
func TestLocalPrefillKeepsGapTarget(t *testing.T) {
	var onTime, stalled [2]float64
	for i, gap := range []time.Duration{0, gapLimit} {
		for seed := range uint64(simSeeds) {
			s := newGapSim(gap)
			s.run(seed)
			onTime[i] += float64(s.onTime) / float64(s.requests) / simSeeds
			stalled[i] += float64(s.stalled) / float64(s.requests) / simSeeds
			t.Logf("gap %v: %d requests, %d on time, %d stalled, %d prefilled at decode servers", gap, s.requests, s.onTime, s.stalled, s.localPrefills)
		}
	}
	if stalled[1] > 0.01 {
		t.Errorf("%.3f of the streams exceeded the gap target, at most 0.01 are allowed", stalled[1])
	}
	if onTime[1] <= onTime[0] {
		t.Errorf("%.3f of the requests are on time, not above the baseline's %.3f", onTime[1], onTime[0])
	}
}
