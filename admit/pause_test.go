package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wasabidock.dev/dock/route"
)

// The load of these tests: 1.5 times the prompts that prefill servers read at
// once without a queue, so that decode servers would often begin earlier. A
// decode server makes a token for all its streams in each step, or a token and
// one piece of a prompt, and seven tokens are one event.
const (
	pauseDecode   = 6
	pausePrefill  = 3
	pauseFor      = 30 * time.Second
	pauseEvery    = 45 * time.Millisecond // mean time between requests
	pausePrompt   = 3_200
	pausePiece    = 1_024 // tokens of a prompt that a decode server reads in a step
	pausePieceFor = 62 * time.Millisecond
	pauseStep     = 8 * time.Millisecond
	pauseStride   = 7
	pauseTokens   = 210
	pauseGap      = 300 * time.Millisecond
	pauseMemory   = 60_000
)

// pauseStream is a request at a decode server.
type pauseStream struct {
	p       *Placement
	unread  int // tokens of its prompt that the decode server has yet to read
	tokens  int
	last    time.Duration // when its last event was made
	first   time.Duration
	longest time.Duration
	due     time.Duration
}

// pauseSim is one instance before servers that read and make tokens in steps.
type pauseSim struct {
	gap     time.Duration // as told to the book, 0 for a book that knows of no pauses
	book    *Balancer
	servers []*route.Server
	streams map[*route.Server][]*pauseStream
	next    map[*route.Server]time.Duration // when its step ends
	busy    map[*route.Server]time.Duration // until when a prefill server reads
	arrive  map[*pauseStream]time.Duration  // streams whose prompt is read elsewhere

	asked, good, paused, self int
}

func (s *pauseSim) step(d *route.Server, now time.Duration) {
	took := pauseStep
	var kept []*pauseStream
	read := false
	for _, st := range s.streams[d] {
		if st.unread > 0 {
			if !read {
				st.unread -= pausePiece
				took += pausePieceFor
				read = true
			}
			kept = append(kept, st)
			continue
		}
		if st.tokens++; st.tokens%pauseStride == 1 {
			s.event(st, now)
		}
		if st.tokens < pauseTokens {
			kept = append(kept, st)
			continue
		}
		s.end(st)
	}
	s.streams[d] = kept
	s.next[d] = now + took
}

func (s *pauseSim) event(st *pauseStream, now time.Duration) {
	if st.first == 0 {
		st.first, st.last = now, now
		s.book.PrefillDone(st.p, 0)
		return
	}
	st.longest = max(st.longest, now-st.last)
	st.last = now
}

func (s *pauseSim) end(st *pauseStream) {
	s.book.ObserveGap(st.p, (st.last-st.first)/(pauseTokens/pauseStride))
	s.book.Release(st.p)
	switch {
	case st.longest > pauseGap:
		s.paused++
	case st.first <= st.due:
		s.good++
	}
}

func (s *pauseSim) place(now time.Duration) {
	w := Request{Prompt: pausePrompt, Output: pauseTokens, Due: now + simObjective, Deadline: now + simPatience, GapTarget: s.gap}
	s.asked++
	p, ok := s.book.Place(w, s.servers, &route.Engine{Slots: 64, KVTokens: pauseMemory}, now)
	if !ok {
		return
	}
	st := &pauseStream{p: p, due: w.Due}
	if p.Prefill == nil {
		s.self++
		st.unread = pausePrompt
		s.streams[p.Decode] = append(s.streams[p.Decode], st)
		return
	}
	begin := max(s.busy[p.Prefill], now)
	s.busy[p.Prefill] = begin + readFixed + span(float64(pausePrompt)/simRead)
	s.arrive[st] = s.busy[p.Prefill]
}

func (s *pauseSim) run(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	due := time.Duration(0)
	for now := time.Millisecond; now < pauseFor; now += time.Millisecond {
		for now >= due {
			s.place(now)
			due += time.Duration(rnd.ExpFloat64() * float64(pauseEvery))
		}
		for st, at := range s.arrive {
			if now >= at {
				s.book.PrefillDone(st.p, 0)
				s.streams[st.p.Decode] = append(s.streams[st.p.Decode], st)
				delete(s.arrive, st)
			}
		}
		for _, d := range s.servers {
			if d.Stage == route.StageDecode && len(s.streams[d]) > 0 && now >= s.next[d] {
				s.step(d, now)
			}
		}
	}
}

func newPauseSim(gap time.Duration) *pauseSim {
	s := &pauseSim{
		gap: gap, book: NewBalancer(Config{Centre: "c", Region: "r"}), streams: make(map[*route.Server][]*pauseStream),
		next: make(map[*route.Server]time.Duration), busy: make(map[*route.Server]time.Duration),
		arrive: make(map[*pauseStream]time.Duration),
	}
	for i := range pauseDecode + pausePrefill {
		st := route.StageDecode
		if i >= pauseDecode {
			st = route.StagePrefill
		}
		s.servers = append(s.servers, server(fmt.Sprint("s", i), "c", "r", st))
	}
	return s
}

// TestReadingAtDecodeServersKeepsPauses plays the load with a book that knows
// how long pauses may be, and with one that does not, which is the baseline.
func TestReadingAtDecodeServersKeepsPauses(t *testing.T) {
	var good, paused [2]float64
	for i, gap := range []time.Duration{0, pauseGap} {
		for seed := range uint64(simSeeds) {
			s := newPauseSim(gap)
			s.run(seed)
			good[i] += float64(s.good) / float64(s.asked) / simSeeds
			paused[i] += float64(s.paused) / float64(s.asked) / simSeeds
			t.Logf("gap %v: %d asked, %d on time, %d paused, %d read at decode servers", gap, s.asked, s.good, s.paused, s.self)
		}
	}
	if paused[1] > 0.01 {
		t.Errorf("%.3f of the streams paused for too long, at most 0.01 are allowed", paused[1])
	}
	if good[1] <= good[0] {
		t.Errorf("%.3f are on time, not above the baseline's %.3f", good[1], good[0])
	}
}
