package crash

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

const t0 = time.Hour

// at returns the instant some milliseconds after t0.
func at(ms int) tick.Instant { return t0 + tick.Instant(ms)*time.Millisecond }

func partsOf(ids ...string) []Part { return NewParts("s", "m", ids) }

// end records that a server ended under a request with the parts at its beginning.
func end(t *Tracker, server uint64, now tick.Instant, ids ...string) {
	t.Broke(server, partsOf(ids...), ids, now)
	t.Confirm(server, now)
}

// TestVerdict checks which evidence blocks a part and which clears it.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name string
		do   func(tr *Tracker)
		want Verdict // on a request with a and x at 10 s
	}{
		{"nothing", func(*Tracker) {}, Clear},
		{"one crash", func(tr *Tracker) { end(tr, 1, at(0), "a", "x") }, Suspect},
		{"broken connections without a crash", func(tr *Tracker) {
			for n := range 9 {
				tr.Broke(uint64(n), partsOf("x"), []string{"x"}, at(n*1000))
			}
		}, Clear},
		{"three episodes", func(tr *Tracker) {
			for n := range 3 {
				end(tr, uint64(n), at(n*1000), "x")
			}
		}, Blocked},
		{"many servers at once", func(tr *Tracker) {
			for n := range 9 {
				end(tr, uint64(n), at(n), "x")
			}
		}, Suspect},
		{"one server, seen by nine requests", func(tr *Tracker) {
			for n := range 9 {
				end(tr, 1, at(n*100), "x")
			}
		}, Suspect},
		{"cleared by a sound beginning", func(tr *Tracker) {
			for n := range 3 {
				end(tr, uint64(n), at(n*1000), "x")
			}
			tr.Begun(partsOf("x", "y"), at(4000))
		}, Clear},
		{"a sound beginning before allows one episode", func(tr *Tracker) {
			tr.Begun(partsOf("x"), at(0))
			end(tr, 1, at(1000), "x")
		}, Clear},
		{"new weights", func(tr *Tracker) {
			tr.Begun(partsOf("x"), at(0))
			for n := range 4 {
				end(tr, uint64(n), at(1000+n*1000), "x")
			}
		}, Blocked},
		{"a sound beginning between", func(tr *Tracker) {
			for n := range 8 {
				end(tr, uint64(n), at(n*1000), "x")
				tr.Begun(partsOf("x"), at(n*1000+500))
			}
		}, Clear},
		{"begins the prompts of two fatal parts", func(tr *Tracker) {
			tr.Begun(partsOf("x"), at(0))
			for n := range 8 {
				end(tr, uint64(n), at(1000+n*1000), "x", []string{"fatal", "fatal2"}[n%2])
			}
		}, Clear},
		{"begins the prompts of a fatal part, and ends servers itself", func(tr *Tracker) {
			for n := range 8 {
				end(tr, uint64(n), at(1000+n*1000), "x", "fatal"[:5-n%2])
			}
			for n := range 3 {
				end(tr, uint64(100+n), at(9000+n*600), "x")
			}
		}, Blocked},
		{"the crashes of another blocked part", func(tr *Tracker) {
			for n := range 3 {
				end(tr, uint64(n), at(n*1000), "x", "fatal")
			}
		}, Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := NewTracker(Config{})
			tt.do(tr)
			v, _, _ := tr.Verdict(partsOf("a", "x"), at(10_000))
			is.Equal(v, tt.want)
		})
	}
}

// TestServerGoneFromList checks that a server that is no longer listed has ended, for endTimeout.
func TestServerGoneFromList(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(Config{})
	listed := true
	isListed := func(uint64) bool { return listed }
	tr.Broke(1, partsOf("x"), []string{"x"}, at(0))
	tr.Sweep(isListed, at(1000))
	v, _, _ := tr.Verdict(partsOf("x"), at(1000))
	is.Equal(v, Clear)
	listed = false
	tr.Sweep(isListed, at(3000))
	v, _, _ = tr.Verdict(partsOf("x"), at(3000))
	is.Equal(v, Suspect)
	tr.Broke(2, partsOf("y"), []string{"y"}, at(4000))
	tr.Sweep(isListed, at(4000)+endTimeout+1)
	v, _, _ = tr.Verdict(partsOf("y"), at(20_000))
	is.Equal(v, Clear)
}

// TestOneAtATimeAndTrials checks that a suspect part gets one request at a time, and a blocked one few trials with growing pauses.
func TestOneAtATimeAndTrials(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(Config{})
	p := partsOf("x")
	end(tr, 1, at(0), "x")
	is.True(tr.Decide(Claim{1, p}, true, at(100)).Granted)
	is.True(tr.Decide(Claim{1, p}, true, at(200)).Granted) // its next write
	is.True(!tr.Decide(Claim{2, p}, true, at(200)).Granted)
	is.True(tr.Decide(Claim{2, p}, true, at(100)+grantTime).Granted) // the first took too long
	end(tr, 2, at(3000), "x")
	is.True(tr.Decide(Claim{3, p}, true, at(3100)).Granted)
	end(tr, 3, at(4000), "x")
	a := tr.Decide(Claim{4, p}, true, at(4100))
	is.True(!a.Granted && a.Blocked)
	is.Equal(a.Wait, firstPause-100*time.Millisecond)
	trials, server := 0, uint64(10)
	for now := at(4100); now < at(4000)+24*time.Hour; now += time.Second {
		if !tr.Decide(Claim{uint64(now), p}, true, now).Granted {
			continue
		}
		if trials++; trials%2 == 0 { // every second trial leads to nothing
			continue
		}
		server++
		end(tr, server, now+100*time.Millisecond, "x")
	}
	is.Equal(trials, 7) // after 20 s, 3 min, 27 min, 4 h 3 min, and each 6 h
	is.True(!tr.Decide(Claim{5, p}, false, at(4000)+30*time.Hour).Granted)
	tr.Begun(p, at(4000)+31*time.Hour)
	is.True(tr.Decide(Claim{6, p}, true, at(4000)+31*time.Hour).Granted)
}

// TestMergeConverges checks that instances agree whatever the order and number of copies, after a cut too.
func TestMergeConverges(t *testing.T) {
	is := is.New(t)
	a, b := NewTracker(Config{}), NewTracker(Config{})
	for n := range 2 {
		end(a, uint64(n), at(n*1000), "x")
		end(b, uint64(n+10), at(n*1000+1400), "x")
	}
	end(b, 1, at(1050), "x") // seen by both
	a.Merge(b.Histories(), at(5000))
	b.Merge(a.Histories(), at(5000))
	a.Merge(b.Histories(), at(5000))
	a.Merge(b.Histories(), at(5000))
	is.Equal(a.Histories(), b.Histories())
	is.Equal(len(a.Histories()[0].Crashes), 4)
	for _, tr := range []*Tracker{a, b} {
		v, _, _ := tr.Verdict(partsOf("x"), at(6000))
		is.Equal(v, Blocked)
	}
	fresh := NewTracker(Config{})
	fresh.Merge(a.Histories(), at(3_600_000))
	v, _, _ := fresh.Verdict(partsOf("x"), at(3_600_000))
	is.Equal(v, Blocked) // an instance that has just started
	b.Begun(partsOf("x"), at(7000))
	a.Merge(b.Recent(at(7000)), at(7100))
	v, _, _ = a.Verdict(partsOf("x"), at(7100))
	is.Equal(v, Clear)
	a.Merge(fresh.Histories(), at(8000)) // an old copy
	v, _, _ = a.Verdict(partsOf("x"), at(8000))
	is.Equal(v, Clear)
	is.Equal(len(a.Recent(at(8000))), 1) // its sender is told
}

// TestBounds checks that thousands of parts keep within the bounds, and that blocked ones stay.
func TestBounds(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(Config{})
	for n := range 3 {
		end(tr, uint64(n), at(n*1000), "x")
	}
	for n := range 5000 {
		id := string(rune('一' + n))
		end(tr, uint64(100+n), at(5000+n), id)
		tr.Begun(partsOf("p"+id), at(5000+n))
	}
	is.True(len(tr.Histories()) <= maxHistories)
	v, _, _ := tr.Verdict(partsOf("x"), at(20_000))
	is.Equal(v, Blocked)
	for n := range 3 * maxProven {
		tr.Begun([]Part{Part(n)}, at(20_000))
	}
	is.True(len(tr.proven) <= maxProven && len(tr.older) <= maxProven)
	for n := range 10 * maxPending {
		tr.Broke(uint64(n), partsOf("z"), []string{"z"}, at(20_000))
	}
	is.True(len(tr.pending) <= maxPending)
}

// noHome is a Claimer without a home.
type noHome struct{}

func (noHome) ClaimStart(context.Context, Claim, tick.Instant) (Answer, error) {
	return Answer{}, ErrNoHome
}

func (noHome) Pauses() (n uint64, synced <-chan struct{}) {
	c := make(chan struct{})
	close(c)
	return 0, c
}

// TestGate checks what a request is told, and what is checked at its writes.
func TestGate(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(t0)
	tr := NewTracker(Config{})
	g := NewGate(tr, clock, clock.Now)
	p := partsOf("x")
	is.True(errors.Is(g.Check(Grant{}, p), ErrNotAdmitted)) // an admission that was never asked for
	is.NoErr(g.Check(Grant{}, nil))                         // none is needed
	clean, err := g.Admit(t.Context(), Claim{1, p})
	is.NoErr(err)
	is.NoErr(g.Check(clean, p))
	end(tr, 1, t0, "x")
	is.True(errors.Is(g.Check(clean, p), ErrNotAdmitted)) // between its admission and its write
	clock.Advance(time.Second)
	grant, err := g.Admit(t.Context(), Claim{1, p})
	is.NoErr(err)
	is.NoErr(g.Check(grant, p))
	clock.Advance(grantTime + 1)
	is.True(errors.Is(g.Check(grant, p), ErrNotAdmitted)) // it took too long
	end(tr, 2, clock.Now(), "x")
	clock.Advance(time.Second)
	end(tr, 3, clock.Now(), "x")
	_, err = g.Admit(t.Context(), Claim{2, p})
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Verdict, Blocked)
	is.Equal(refused.Wait, firstPause)
	clock.Advance(firstPause)
	g.SetClaimer(noHome{})
	_, err = g.Admit(t.Context(), Claim{3, p})
	is.True(errors.Is(err, ErrNoHome)) // no trial without a home
}

// FuzzMerge checks that no evidence of a peer breaks a Tracker.
func FuzzMerge(f *testing.F) {
	f.Add(uint64(1), int64(0), int64(5), int64(9), uint64(3))
	f.Fuzz(func(_ *testing.T, part uint64, begun, crash, trial int64, server uint64) {
		tr := NewTracker(Config{})
		h := History{
			Part: Part(part), Begun: tick.Instant(begun),
			Crashes: []Crash{{server, tick.Instant(crash)}, {server + 1, tick.Instant(trial)}}, Trials: []Trial{{server, tick.Instant(trial)}},
		}
		for range 2 {
			tr.Merge([]History{h, h}, t0)
			tr.Decide(Claim{1, []Part{Part(part)}}, true, t0)
			tr.Merge(tr.Histories(), t0)
		}
		tr.Sweep(func(uint64) bool { return false }, t0+1)
	})
}
