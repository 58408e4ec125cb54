package once

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

var (
	errSuperseded = errors.New("once: a later process holds the seat")
	errNoView     = errors.New("once: no table is in force")
)

// fetched is the content of one backup's replica of this seat's journal.
type fetched struct {
	name        ident.Instance
	incarnation uint64
	entries     []intent.Entry
	complete    time.Duration
	sure        bool // complete is known
	known       bool // this process was the one registered at the backup before
}

// Start joins the backups and keeps their copies complete until ctx ends. The
// returned channel is closed when it has stopped.
func (s *Service) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.loop(ctx)
	}()
	return done
}

func (s *Service) loop(ctx context.Context) {
	page := 0
	for {
		every := syncEvery
		if err := s.Sync(ctx); err != nil {
			every = joinEvery
			if !errors.Is(err, errNoView) {
				s.cfg.Log.Warn().Err(err).Msg("once: the backups do not hold the complete journal")
			}
		}
		s.copies.Expire(s.cfg.Clock.Now())
		for range expirePerTick {
			s.journal.Expire(s.cfg.Clock.Now(), page)
			page = (page + 1) % intent.Shards
		}
		timer := s.cfg.Clock.After(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C():
		}
	}
}

// Sync makes one round: it joins the backups if this process is not registered at
// one of them, and sends the complete journal to those that lack it.
func (s *Service) Sync(ctx context.Context) error {
	if s.superseded() {
		return errSuperseded
	}
	v, ok := s.cfg.Table.View()
	if !ok {
		return errNoView
	}
	s.observe(v)
	names := s.backupsBy(v)
	if len(names) == 0 {
		return nil
	}
	s.probe(ctx, names)
	if s.needsJoin(names) {
		if err := s.join(ctx, names); err != nil {
			return err
		}
	}
	return s.sendWhole(ctx, names)
}

// probe sends an empty copy to each backup, to detect one that was replaced.
func (s *Service) probe(ctx context.Context, names []ident.Instance) {
	acks := s.copyAll(ctx, names, nil, endCopyLimit)
	for range names {
		<-acks
	}
}

// needsJoin reports whether this process is not registered at one of its backups.
func (s *Service) needsJoin(names []ident.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if !s.backup(name).met {
			return true
		}
	}
	return !s.joined
}

// join fetches the journal from all backups. From then on each of them rejects
// the copies of earlier processes of the seat.
//
// The journal stays complete if a backup confirms that no other process has
// registered for the seat since the last join. After the first join it is as
// complete as the replicas of the backups. Otherwise it is complete from now on
// only.
func (s *Service) join(ctx context.Context, names []ident.Instance) error {
	var all []fetched
	for _, name := range names {
		f, err := s.fetch(ctx, name)
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	now := s.cfg.Clock.Now()
	for _, f := range all {
		for _, e := range f.entries {
			s.journal.Merge(e)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = since(now, all, s.joined, s.since)
	s.joined = true
	for _, f := range all {
		b := s.backup(f.name)
		whole := b.whole && f.known && b.incarnation == f.incarnation
		*b = backup{incarnation: f.incarnation, met: true, whole: whole}
	}
	return nil
}

// since returns the instant since which the journal holds every call.
func since(now tick.Instant, all []fetched, joined bool, old tick.Instant) tick.Instant {
	if joined {
		for _, f := range all {
			if f.known {
				return old
			}
		}
		return now
	}
	start := tick.Instant(0)
	for i, f := range all {
		if !f.sure {
			return now
		}
		if i == 0 || now-f.complete > start {
			start = now - f.complete
		}
	}
	return start
}

func (s *Service) fetch(ctx context.Context, name ident.Instance) (fetched, error) {
	out := fetched{name: name}
	c, err := s.cfg.Dialer.Once(name)
	if err != nil {
		return out, fail.New("once: fetch", string(name), ident.NotRun, err)
	}
	for page := range intent.Shards {
		res, err := s.fetchPage(ctx, c.Fetch, page)
		if err != nil {
			return out, fail.New("once: fetch", string(name), ident.Unknown, err)
		}
		if res.GetSuperseded() {
			s.supersede()
			return out, fail.New("once: fetch", string(name), ident.Done, errSuperseded)
		}
		if page == 0 {
			out.incarnation = res.GetBuddy().GetIncarnation()
			out.known = res.GetKnown()
			out.sure = res.GetCompleteMs() > 0
			out.complete = time.Duration(res.GetCompleteMs()) * time.Millisecond
		}
		if res.GetBuddy().GetIncarnation() != out.incarnation {
			err := errors.New("the backup was replaced between two pages")
			return out, fail.New("once: fetch", string(name), ident.Unknown, err)
		}
		out.entries = append(out.entries, fromProto(s.cfg.Clock.Now(), res.GetEntries())...)
		if !res.GetMore() {
			break
		}
	}
	return out, nil
}

type fetchFunc func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchResponse, error)

func (s *Service) fetchPage(ctx context.Context, fetch fetchFunc, page int) (*peerpb.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	return fetch(ctx, &peerpb.FetchRequest{Owner: s.node(), Page: uint32(page)})
}

// sendWhole sends the complete journal to each backup that lacks it.
func (s *Service) sendWhole(ctx context.Context, names []ident.Instance) error {
	for _, name := range names {
		s.mu.Lock()
		b := *s.backup(name)
		since, joined := s.since, s.joined
		s.mu.Unlock()
		if b.whole || !joined {
			continue
		}
		if err := s.sendPages(ctx, name, since); err != nil {
			return err
		}
		s.mu.Lock()
		if now := s.backup(name); now.met && now.incarnation == b.incarnation {
			now.whole = true
		}
		s.mu.Unlock()
	}
	return nil
}

// sendPages sends the journal shard by shard. The last message contains the time
// for which it has been complete.
func (s *Service) sendPages(ctx context.Context, name ident.Instance, since tick.Instant) error {
	const step = "once: send journal"
	c, err := s.cfg.Dialer.Once(name)
	if err != nil {
		return fail.New(step, string(name), ident.NotRun, err)
	}
	for page := range intent.Shards {
		now := s.cfg.Clock.Now()
		req := &peerpb.CopyRequest{Owner: s.node(), Entries: toProto(now, s.journal.ShardEntries(page))}
		if page == intent.Shards-1 {
			req.Whole = true
			req.CompleteMs = max(1, (now - since).Milliseconds())
		}
		pageCtx, cancel := context.WithTimeout(ctx, fetchLimit)
		res, err := c.Copy(pageCtx, req)
		cancel()
		if err != nil {
			return fail.New(step, string(name), ident.Unknown, err)
		}
		if !s.acknowledged(name, res) {
			return fail.New(step, string(name), ident.Done, errors.New("the backup did not store the copy"))
		}
	}
	return nil
}

// Leave rejects new calls, waits for those in progress and sends the complete
// journal to the backups once more. It does not interrupt a call when ctx ends.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	for s.active > 0 {
		s.quiet.Wait()
	}
	for _, b := range s.backups {
		b.whole = false
	}
	s.mu.Unlock()
	if s.superseded() {
		return nil
	}
	return s.sendWhole(ctx, s.backupNames())
}
