package spread

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

const (
	// watchers is the number of instances of a data centre that watch.
	watchers  = 2
	watchWait = 2 * time.Second
	// idleCheck is the period at which an instance that does not watch looks
	// whether it should.
	idleCheck = time.Second
	// starvedAge is the age of the platform's last known answer after which an
	// instance reads for itself, up to starvedSpread later.
	starvedAge    = 6 * time.Second
	starvedSpread = 3 * time.Second
	// auditPeriod is the time between two reads of the head in a data centre by
	// instances that do not watch it.
	auditPeriod = 2 * time.Second
	// listPeriod is the period at which all instances read the lists.
	listPeriod = 5 * time.Minute
	// The lists give way to the head, and the head to parts, when calls are
	// turned down.
	partBackoffFirst = 250 * time.Millisecond
	partBackoffMax   = 2 * time.Second
	headBackoffFirst = 500 * time.Millisecond
	headBackoffMax   = 4 * time.Second
	listBackoffFirst = 2 * time.Second
	listBackoffMax   = 30 * time.Second
	// firstRead spreads the first reads of a list.
	firstRead = 500 * time.Millisecond
)

// watched is one value of the platform that the instance follows.
type watched struct {
	name    string
	head    bool // the head of the table, which peers pass on
	apply   func(plat.Value) error
	after   uint64 // revision of the value last seen
	due     tick.Instant
	audit   tick.Instant // when this instance reads the head though others watch
	backoff plat.Backoff
	random  *rand.Rand
}

func (f *Fleet) watchedValues() []*watched {
	values := []*watched{
		{name: table.HeadName, head: true, apply: f.applyHead},
		{name: plat.InstancesName, apply: f.applyInstances},
		{name: plat.ServersName, apply: f.applyServers},
	}
	for i, w := range values {
		w.random = rand.New(rand.NewPCG(f.cfg.Random.Uint64(), f.cfg.Random.Uint64()))
		w.backoff = plat.Backoff{First: listBackoffFirst, Max: listBackoffMax, Random: w.random}
		if w.head {
			w.backoff.First, w.backoff.Max = headBackoffFirst, headBackoffMax
		}
		w.due = f.cfg.Timer.Now() + time.Duration(i-1)*firstRead + w.jitter(firstRead)
	}
	return values
}

func (w *watched) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (f *Fleet) runWatch(ctx context.Context, w *watched) {
	for ctx.Err() == nil {
		if tick.Sleep(ctx, f.cfg.Timer, f.look(ctx, w)) != nil {
			return
		}
	}
}

// look makes at most one call to the platform for a value and returns the time
// to wait before the next look.
func (f *Fleet) look(ctx context.Context, w *watched) time.Duration {
	var v plat.Value
	var err error
	switch {
	case f.watches(w):
		v, err = f.cfg.Platform.Watch(ctx, w.name, w.after, watchWait)
	case f.reads(w):
		v, err = f.cfg.Platform.Read(ctx, w.name)
	default:
		return idleCheck
	}
	f.stats.read(len(v.Data))
	if err != nil && !errors.Is(err, plat.ErrUnchanged) && !errors.Is(err, plat.ErrMissing) {
		wait := w.backoff.Next()
		if w.after == 0 {
			wait = min(wait, headBackoffMax) // nothing is known yet
		}
		w.due = f.cfg.Timer.Now() + wait
		return wait
	}
	w.backoff.Reset()
	w.due = f.cfg.Timer.Now() + listPeriod/2 + w.jitter(listPeriod)
	if w.head {
		f.heardPlatform(0)
	}
	if errors.Is(err, plat.ErrMissing) {
		return idleCheck + w.jitter(idleCheck)
	}
	if err != nil {
		return 0 // unchanged for the whole wait
	}
	if v.Revision <= w.after {
		return idleCheck // read again, or a stale replica
	}
	if err := w.apply(v); err != nil {
		f.cfg.Log.Warn().Err(err).Str("value", w.name).Msg("spread: bad value")
	}
	w.after = v.Revision
	return 0
}

// watches reports whether this instance is one of those of its data centre
// that watch a value. The list of instances is read first, since it tells who
// the others are.
func (f *Fleet) watches(w *watched) bool {
	if w.after == 0 && w.name == plat.InstancesName || !f.listSeen() {
		return false
	}
	names := f.cfg.Roster.Candidates(f.cfg.Centre)
	self := rank(w.name, f.cfg.Self.Instance)
	before := 0
	for _, n := range names {
		if n != f.cfg.Self.Instance && rank(w.name, n) > self {
			before++
		}
	}
	return before < watchers
}

// rank orders instances differently for each value.
func rank(value string, name ident.Instance) uint64 {
	return xxhash.Sum64String(value + "\x00" + string(name))
}

// listSeen reports whether the list of instances has been read or cannot be.
func (f *Fleet) listSeen() bool {
	return f.cfg.Roster.Listed() || f.cfg.Timer.Now()-f.join.start > joinPatience
}

// reads reports whether it is time to read a value that others watch.
func (f *Fleet) reads(w *watched) bool {
	now := f.cfg.Timer.Now()
	if !w.head {
		return now >= w.due
	}
	if f.audits(w, now) {
		return true
	}
	f.mu.Lock()
	starved := now-f.seen > starvedAge
	f.mu.Unlock()
	if !starved {
		w.due = now + w.jitter(starvedSpread)
	}
	return starved && now >= w.due
}

// audits reports whether it is this instance's turn to read the head for
// itself, in case all that watch it read from stale replicas.
func (f *Fleet) audits(w *watched, now tick.Instant) bool {
	due := w.audit
	if now < due {
		return false
	}
	period := time.Duration(len(f.cfg.Roster.Candidates(f.cfg.Centre))) * auditPeriod
	w.audit = now + period/2 + w.jitter(period)
	return due != 0
}

func (f *Fleet) applyHead(v plat.Value) error {
	head, err := table.ParseHead(v.Data)
	if err != nil {
		f.ledger.setBadHead(table.HeadName + ": " + err.Error())
		return err
	}
	f.ledger.setBadHead("")
	version := Version{Revision: head.Revision, Sum: sha256.Sum256(v.Data)}
	if now, _ := f.Version(); now.Revision == version.Revision && now.After(version) {
		f.ledger.refuse(version, []table.Fault{{File: table.HeadName, Reason: "this revision was published twice with different parts"}})
	}
	f.offered(version, source{head: v.Data})
	return nil
}

func (f *Fleet) applyInstances(v plat.Value) error {
	list, err := plat.ParseInstances(v.Data)
	if err != nil {
		return err
	}
	items := make([]roster.Listed, len(list))
	for i, e := range list {
		items[i] = roster.Listed{
			Instance: e.Instance, Address: e.Address, Centre: e.Centre,
			Departing: e.State == plat.DepartingState,
		}
	}
	f.cfg.Roster.List(items, f.cfg.Timer.Now())
	return nil
}

func (f *Fleet) applyServers(v plat.Value) error {
	list, err := plat.ParseServers(v.Data)
	if err != nil {
		return err
	}
	var departing []ident.Server
	for _, e := range list {
		if e.State == plat.DepartingState {
			departing = append(departing, e.Server)
		}
	}
	sort.Slice(departing, func(i, j int) bool { return departing[i] < departing[j] })
	f.cfg.Roster.ListServers(departing, f.cfg.Timer.Now())
	return nil
}
