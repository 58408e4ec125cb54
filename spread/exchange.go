package spread

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/tick"
)

const (
	roundPeriod     = time.Second
	exchangeTimeout = time.Second
	maxExchanges    = 8
	alarmGap        = time.Second
	// pushNear and pushFar are the instances told at once of a new table.
	pushNear = 3
	pushFar  = 1
)

var errSilent = errors.New("no answer in time")

// runRounds exchanges digests each period and after each change, unless the
// instance is superseded: its peers would not take them.
func (f *Fleet) runRounds(ctx context.Context) {
	period := f.cfg.Timer.Every(roundPeriod)
	defer period.Stop()
	done := make(chan struct{})
	running := 0
	start := func(targets []ident.Instance) {
		for _, name := range targets {
			if running == maxExchanges || f.isSuperseded() || !f.claim(name) {
				continue
			}
			running++
			go func() {
				f.exchange(ctx, name)
				done <- struct{}{}
			}()
		}
	}
	start(f.cfg.Roster.Spread(pushNear, pushFar))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-period.C():
			start(f.targets())
		case <-f.pushes:
			start(f.cfg.Roster.Spread(pushNear, pushFar))
		case <-done:
			running--
		}
	}
	for ; running > 0; running-- {
		<-done
	}
}

// targets returns the instances to talk to in a periodic round.
func (f *Fleet) targets() []ident.Instance {
	f.offerAgain()
	f.checkJoined()
	if f.isJoined() {
		return f.cfg.Roster.Next()
	}
	return f.cfg.Roster.Spread(pushNear, pushFar)
}

// claim reports whether no exchange with the instance is in flight, and marks
// one as such.
func (f *Fleet) claim(name ident.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[name] {
		return false
	}
	f.busy[name] = true
	return true
}

// exchange tells one instance what this one knows and takes its answer.
func (f *Fleet) exchange(ctx context.Context, name ident.Instance) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.busy, name)
	}()
	err := f.digest(ctx, name)
	switch {
	case err == nil || ctx.Err() != nil:
	case connect.CodeOf(err) == connect.CodeAborted:
		f.supersede.Do(func() {
			f.cfg.Log.Error().Err(err).Msg("spread: superseded")
			close(f.superseded)
		})
	default:
		f.stats.failed()
		f.cfg.Roster.Failed(name, f.cfg.Timer.Now())
		f.passAlarm()
		f.cfg.Log.Debug().Err(err).Msg("spread: exchange failed")
	}
	f.asked(err == nil)
}

func (f *Fleet) digest(ctx context.Context, name ident.Instance) error {
	const step = "spread: digest"
	client, err := f.cfg.Dialer.Fleet(name)
	if err != nil {
		return fail.New(step, string(name), ident.NotRun, err)
	}
	ctx, stop := tick.WithTimeout(ctx, f.cfg.Timer, exchangeTimeout, errSilent)
	defer stop()
	var centre ident.Centre
	if e, ok := f.cfg.Roster.Entry(name); ok {
		centre = e.Centre
	}
	start := f.cfg.Timer.Now()
	req := f.request(centre, start)
	resp, err := client.Digest(ctx, req)
	f.stats.called(req, resp)
	if err != nil {
		return fail.New(step, string(name), ident.Unknown, err)
	}
	return f.takeResponse(name, resp, start)
}

func (f *Fleet) request(to ident.Centre, now tick.Instant) *peerpb.DigestRequest {
	v, _ := f.Version()
	age := f.platformAge()
	r := f.cfg.Roster
	return &peerpb.DigestRequest{
		Self:          entryToWire(r.Self()),
		Revision:      v.Revision,
		Head:          sumToWire(v),
		Nodes:         entriesToWire(r.News(to, false, now)),
		Gone:          goneToWire(r.ServerNews(now)),
		PlatformAgeMs: age,
		Histories:     f.histories(),
	}
}

var errStranger = errors.New("another instance answered")

func (f *Fleet) takeResponse(name ident.Instance, resp *peerpb.DigestResponse, start tick.Instant) error {
	self := entryFromWire(resp.GetSelf())
	if f.cfg.Roster.Hear(self, start) != nil {
		return nil // a superseded process, which its peers will tell so
	}
	f.merge(self.Node.Instance, resp, start)
	if self.Node.Instance != name {
		return fail.New("spread: digest", string(name), ident.NotRun, errStranger)
	}
	return nil
}

// news is what requests and answers have in common.
type news interface {
	GetRevision() uint64
	GetHead() []byte
	GetNodes() []*peerpb.Node
	GetGone() []*peerpb.Gone
	GetPlatformAgeMs() int64
	GetHistories() []*peerpb.PartHistory
}

// merge takes what a peer passed on. At is an instant at which it was true.
func (f *Fleet) merge(from ident.Instance, n news, at tick.Instant) {
	f.cfg.Roster.Merge(entriesFromWire(n.GetNodes()), at)
	f.cfg.Roster.MergeServers(goneFromWire(n.GetGone()), at)
	f.passAlarm()
	if f.cfg.Crashes != nil && len(n.GetHistories()) > 0 {
		now := f.cfg.Crashes.Now()
		f.cfg.Crashes.Tracker().Merge(peer.DecodeHistories(n.GetHistories(), now), now)
	}
	if ms := n.GetPlatformAgeMs(); ms >= 0 {
		f.heardPlatform(time.Duration(ms)*time.Millisecond + f.cfg.Timer.Now() - at)
	}
	if v, ok := versionFromWire(n.GetRevision(), n.GetHead()); ok {
		f.offered(v, source{peer: from})
	}
}

// passAlarm has the loss of a node told at once, but not many times a second.
func (f *Fleet) passAlarm() {
	if !f.cfg.Roster.Alarmed() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Timer.Now()
	if now-f.alarmed < alarmGap {
		return
	}
	f.alarmed = now
	notify(f.pushes)
}

// histories returns what this instance knows of blocks of prompts that end engines.
func (f *Fleet) histories() []*peerpb.PartHistory {
	if f.cfg.Crashes == nil {
		return nil
	}
	t, now := f.cfg.Crashes.Tracker(), f.cfg.Crashes.Now()
	t.Sweep(func(uint64) bool { return true }, now) // an engine that refuses a connection is known to have ended at once
	return peer.EncodeHistories(t.Histories(), now)
}

// platformAge returns the age for the wire: -1 if the platform was never read.
func (f *Fleet) platformAge() int64 {
	age, ok := f.PlatformAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// Digest answers a peer's periodic exchange.
func (f *Fleet) Digest(_ context.Context, req *peerpb.DigestRequest) (*peerpb.DigestResponse, error) {
	now := f.cfg.Timer.Now()
	self := entryFromWire(req.GetSelf())
	if err := f.cfg.Roster.Hear(self, now); err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	f.merge(self.Node.Instance, req, now)
	v, _ := f.Version()
	r := f.cfg.Roster
	resp := &peerpb.DigestResponse{
		Self:          entryToWire(r.Self()),
		Revision:      v.Revision,
		Head:          sumToWire(v),
		Nodes:         entriesToWire(r.News(self.Centre, self.State == roster.Starting, now)),
		Gone:          goneToWire(r.ServerNews(now)),
		PlatformAgeMs: f.platformAge(),
		Histories:     f.histories(),
	}
	f.stats.served(req, resp)
	return resp, nil
}
