package once_test

import (
	"context"
	"slices"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
)

// link delivers messages between two processes while both are alive and not
// partitioned from each other.
type link struct {
	w        *world
	from, to *proc
}

func (l *link) up() bool {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return !l.from.dead && !l.to.dead && !l.w.cut[[2]ident.Instance{l.from.node.Instance, l.to.node.Instance}]
}

func (l *link) Run(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	l.w.hit(atForward, l.from)
	if !l.up() {
		return nil, errLost
	}
	res, err := l.to.svc.Handler().Run(ctx, req)
	l.w.hit(atReply, l.to)
	if !l.up() {
		return nil, errLost
	}
	return res, err
}

// turn identifies a version of an entry, which is copied to two backups.
type turn struct {
	owner, serial uint64
}

// inTurn makes the copy to the second backup wait for the one to the first, so
// that faults at copies are injected in a fixed order.
func (l *link) inTurn(ctx context.Context, req *peerpb.CopyRequest) (end func()) {
	if len(req.GetEntries()) != 1 || req.GetWhole() {
		return func() {}
	}
	t := turn{req.GetOwner().GetIncarnation(), req.GetEntries()[0].GetSerial()}
	backups := intent.Backups(l.from.table().seats, l.from.node.Instance)
	if len(backups) == 0 {
		return func() {}
	}
	l.w.mu.Lock()
	c, ok := l.w.turns[t]
	if !ok {
		c = make(chan struct{})
		l.w.turns[t] = c
	}
	l.w.mu.Unlock()
	if l.to.node.Instance == backups[0] {
		return func() {
			l.w.mu.Lock()
			defer l.w.mu.Unlock()
			select {
			case <-c: // the copy was sent once more
			default:
				close(c)
			}
		}
	}
	if _, err := l.w.dial(l.from, backups[0]); err == nil {
		select {
		case <-c:
		case <-ctx.Done(): // the first copy was never sent
		}
	}
	return func() {}
}

// atSecond delays the copy of an intent to the second backup as the test asks, and returns what is to be called
// when it has been answered.
func (l *link) atSecond() (answered func()) {
	if slices.Index(intent.Backups(l.from.table().seats, l.from.node.Instance), l.to.node.Instance) != 1 {
		return func() {}
	}
	if l.from.lateCopy != nil {
		<-l.from.lateCopy
	}
	return l.from.closeSecond
}

func (l *link) Copy(ctx context.Context, req *peerpb.CopyRequest) (*peerpb.CopyResponse, error) {
	defer l.inTurn(ctx, req)()
	intent := len(req.GetEntries()) == 1 && !req.GetWhole()
	answer := intent && (req.GetEntries()[0].GetAnswer() != nil || req.GetEntries()[0].GetDropped())
	switch {
	case answer:
		l.w.hit(atFinishCopy, l.from)
	case intent:
		l.w.hit(atCopy, l.from)
		defer l.atSecond()()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !l.up() {
		return nil, errLost
	}
	res, err := l.to.svc.Handler().Copy(ctx, req)
	if intent && !answer {
		l.w.hit(afterCopy, l.from)
	}
	if !l.up() {
		return nil, errLost
	}
	return res, err
}

func (l *link) Fetch(ctx context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	if !l.up() {
		return nil, errLost
	}
	res, err := l.to.svc.Handler().Fetch(ctx, req)
	if !l.up() {
		return nil, errLost
	}
	return res, err
}
