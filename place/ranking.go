package place

import "slices"

// ranking keeps the two best of a sequence of scored servers.
type ranking struct {
	best, second           int
	bestScore, secondScore float64
	ties                   uint64
}

func newRanking() ranking { return ranking{best: -1, second: -1} }

// offer enters server i. Equal scores are kept with equal probability.
func (r *ranking) offer(i int, score float64, p *Pool) {
	switch {
	case r.best < 0:
		r.best, r.bestScore, r.ties = i, score, 1
		return
	case score < r.bestScore-tieScore:
		r.second, r.secondScore = r.best, r.bestScore
		r.best, r.bestScore, r.ties = i, score, 1
		return
	case score <= r.bestScore+tieScore:
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

// sampler passes over all but some positions of a list.
type sampler struct {
	keep [8]int
	n    int
}

// sample draws Config.Choices positions of a list of servers.
func (p *Pool) sample(set []int) sampler {
	var s sampler
	s.n = min(p.cfg.SampleSize, len(s.keep))
	if s.n >= len(set) {
		s.n = 0
	}
	for i := range s.n {
		s.keep[i] = int(p.cfg.Rand.Uint64() % uint64(len(set)))
	}
	return s
}

func (s *sampler) skips(n int) bool {
	return s.n > 0 && !slices.Contains(s.keep[:s.n], n)
}
