package app

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// part is a loop of the daemon. Run returns when ctx is over.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// end tells that a part's loop has returned.
type end struct {
	name string
	err  error
}

// group runs the parts and owns the channel on which they report their ends.
type group struct {
	log    zerolog.Logger
	cancel context.CancelFunc
	ends   chan end
	n      int
	taken  int // ends that were read from failed
}

// startGroup runs each part in a goroutine of its own.
func startGroup(ctx context.Context, log zerolog.Logger, parts []part) *group {
	ctx, cancel := context.WithCancel(ctx)
	g := &group{log: log, cancel: cancel, ends: make(chan end, len(parts)), n: len(parts)}
	for _, p := range parts {
		go func() { g.ends <- end{name: p.name, err: p.run(ctx)} }()
	}
	return g
}

// failed delivers the first part that ended by itself. A part ends by itself
// only if it cannot go on.
func (g *group) failed() <-chan end { return g.ends }

// stop cancels the parts and waits until each has reported its end or ctx is
// over.
func (g *group) stop(ctx context.Context) error {
	g.cancel()
	for i := g.taken; i < g.n; i++ {
		select {
		case e := <-g.ends:
			g.note(e)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "app: %d parts have not ended", g.n-i)
		}
	}
	return nil
}

func (g *group) note(e end) {
	if e.err == nil || errors.Is(e.err, context.Canceled) {
		return
	}
	g.log.Warn().Str("loop", e.name).Err(e.err).Msg("app: part ended")
}
