package place

import "slices"

// ranking keeps the best and the second best of a sequence of scored servers. A lower score is
// better. An index of -1 means none.
type ranking struct {
	best, second           int
	bestScore, secondScore float64
	ties                   uint64 // number of servers tied for the best
}

func newRanking() ranking { return ranking{best: -1, second: -1} }

// add adds server i. Among servers with equal scores, each becomes the best with equal probability.
func (r *ranking) add(i int, score float64, p *Pool) {
	switch {
	case r.best < 0:
		r.best, r.bestScore, r.ties = i, score, 1
		return
	case score < r.bestScore-tieThreshold:
		r.second, r.secondScore = r.best, r.bestScore
		r.best, r.bestScore, r.ties = i, score, 1
		return
	case score <= r.bestScore+tieThreshold:
		r.ties++
		if p.cfg.Rand.Uint64()%r.ties == 0 {
			r.second, r.secondScore = r.best, r.bestScore
			r.best, r.bestScore = i, score
			return
		}
	}
	if r.second < 0 || score < r.secondScore {
		r.second, r.secondScore = i, score
	}
}

// sampler selects a few positions of a list. Without a sample it selects all.
type sampler struct {
	keep [8]int
	n    int // number of positions in keep; zero selects all
}

// sample selects Config.SampleSize random positions of a list of servers, at most as many as keep
// holds.
func (p *Pool) sample(indices []int) sampler {
	var s sampler
	s.n = min(p.cfg.SampleSize, len(s.keep))
	if s.n >= len(indices) {
		s.n = 0
	}
	for i := range s.n {
		s.keep[i] = int(p.cfg.Rand.Uint64() % uint64(len(indices)))
	}
	return s
}

// skips reports whether position n is not selected.
func (s *sampler) skips(n int) bool {
	return s.n > 0 && !slices.Contains(s.keep[:s.n], n)
}
