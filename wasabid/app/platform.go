package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/tick"
)

// platforms reads from the first address of the configuration service that
// answers, and stays with it until it fails.
type platforms struct {
	list []*plat.Client
	cur  atomic.Int64
}

func newPlatforms(urls []string, t tick.Clock) *platforms {
	p := &platforms{}
	for _, u := range urls {
		p.list = append(p.list, plat.New(plat.Config{URL: u, Timer: t}))
	}
	return p
}

// Read returns the value of the given name.
func (p *platforms) Read(ctx context.Context, name string) (plat.Value, error) {
	i := p.cur.Load()
	v, err := p.at(i).Read(ctx, name)
	p.note(i, err)
	return v, err
}

// Watch waits until the value has a revision after the given one.
func (p *platforms) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (plat.Value, error) {
	i := p.cur.Load()
	v, err := p.at(i).Watch(ctx, name, after, wait)
	p.note(i, err)
	return v, err
}

func (p *platforms) at(i int64) *plat.Client { return p.list[int(i)%len(p.list)] }

// note moves on to the next address after a failure at address i.
func (p *platforms) note(i int64, err error) {
	switch {
	case err == nil, errors.Is(err, plat.ErrUnchanged), errors.Is(err, plat.ErrMissing), errors.Is(err, context.Canceled):
	default:
		p.cur.CompareAndSwap(i, i+1)
	}
}
