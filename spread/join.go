package spread

import (
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// joinAnswers is the number of answers that a fresh process waits for.
	joinAnswers = 3
	// joinPatience is the time after which it starts with what it has.
	joinPatience = 4 * time.Second
	// joinBehind is the time for which it waits for a version that a peer has
	// and that it could not get.
	joinBehind = 30 * time.Second
)

// joining is how far a fresh process has come.
type joining struct {
	start    tick.Instant
	answered int
	highest  Version // of what peers have in force
	done     bool
}

func (f *Fleet) isJoined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.join.done
}

// asked takes note of the end of an exchange.
func (f *Fleet) asked(answered bool) {
	f.mu.Lock()
	if answered {
		f.join.answered++
	}
	f.mu.Unlock()
	f.checkJoined()
}

// behind takes note of a version that a peer has in force.
func (f *Fleet) behind(v Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.join.done && v.After(f.join.highest) {
		f.join.highest = v
	}
}

// checkJoined ends the join if there is a table, enough peers have answered or
// none can, and none of them has a newer table that can be had.
func (f *Fleet) checkJoined() {
	if f.isJoined() {
		return
	}
	alone := f.cfg.Roster.Listed() && len(f.cfg.Roster.Spread(1, 1)) == 0
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.join.done || f.table.Load() == nil {
		return
	}
	waited := f.cfg.Timer.Now() - f.join.start
	if f.join.answered < joinAnswers && waited < joinPatience && !alone {
		return
	}
	if f.ledger.wants(f.join.highest) && waited < joinBehind {
		return
	}
	f.join.done = true
	close(f.joined)
	f.cfg.Log.Info().Dur("waited", waited).Int("answers", f.join.answered).Msg("spread: joined")
}
