package stand

import (
	"net/http"
	"strconv"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// pieceTokens is the number of prompt tokens in a block of the prefix cache.
const pieceTokens = 1000

// reports holds the load report that is sent until the next update.
type reports struct {
	seq  uint64
	told engine.LoadReport
	at   tick.Instant
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	now := e.cfg.Timer.Now()
	if e.report.seq == 0 || now-e.report.at >= e.cfg.ReportEvery {
		e.report.seq++
		e.report.told = e.measure()
		e.report.at = now
	}
	out := e.report.told
	out.AgeMS = (now - e.report.at).Milliseconds()
	writeJSON(w, out)
}

func (e *Engine) measure() engine.LoadReport {
	e.finishLoads()
	busy := e.busy()
	l := engine.LoadReport{
		Server:          e.cfg.Server,
		Seq:             e.report.seq,
		Role:            e.role,
		Models:          append([]engine.LoadedModel{}, e.models...),
		Loading:         []engine.LoadedModel{},
		Slots:           e.cfg.Places,
		BusySlots:       busy,
		TokenIntervalMS: float64(e.cfg.TokenTime+time.Duration(busy)*e.cfg.TokenSlope) / float64(time.Millisecond),
		Draining:        e.draining,
		Fence:           e.fence,
	}
	for _, m := range e.loading {
		l.Loading = append(l.Loading, m.model)
	}
	for _, j := range e.queue {
		if j.ctx.Err() == nil {
			l.QueuedTokens += promptTokens(j.prompt)
		}
	}
	if e.running != nil {
		l.QueuedTokens += promptTokens(e.running.prompt)
	}
	return l
}

// pieceCache is a prefix cache. It evicts the least recently used blocks.
type pieceCache struct {
	size  int
	clock uint64
	used  map[uint64]uint64 // time of the last use of each block
}

func newPieceCache(size int) *pieceCache {
	return &pieceCache{size: size, used: make(map[uint64]uint64)}
}

// match returns the number of leading blocks that are cached.
func (c *pieceCache) match(pieces []uint64) int64 {
	for i, p := range pieces {
		if _, ok := c.used[p]; !ok {
			return int64(i)
		}
	}
	return int64(len(pieces))
}

// add adds the blocks to the cache and returns those added and evicted.
func (c *pieceCache) add(pieces []uint64) (added, dropped []uint64) {
	for _, p := range pieces {
		c.clock++
		if _, ok := c.used[p]; !ok {
			added = append(added, p)
		}
		c.used[p] = c.clock
	}
	for len(c.used) > c.size {
		dropped = append(dropped, c.dropOldest())
	}
	return added, dropped
}

func (c *pieceCache) dropOldest() uint64 {
	oldest, at := uint64(0), uint64(0)
	for p, t := range c.used {
		if at == 0 || t < at {
			oldest, at = p, t
		}
	}
	delete(c.used, oldest)
	return oldest
}

// maxFeedEvents is the number of cache events that a feed keeps.
const maxFeedEvents = 1024

// eventFeed holds the most recent cache events.
type eventFeed struct {
	delay  time.Duration
	gap    int
	seq    uint64
	events []feedEvent
}

type feedEvent struct {
	due tick.Instant
	ev  engine.CacheEvent
}

func newEventFeed(delay time.Duration, gap int) *eventFeed {
	return &eventFeed{delay: delay, gap: gap}
}

func (e *Engine) publish(added, dropped []uint64) {
	if len(added)+len(dropped) == 0 {
		return
	}
	f := e.feed
	f.seq++
	if f.gap > 0 && f.seq%uint64(f.gap) == 0 {
		return
	}
	f.events = append(f.events, feedEvent{
		due: e.cfg.Timer.Now() + f.delay,
		ev:  engine.CacheEvent{Seq: f.seq, Added: added, Evicted: dropped},
	})
	if len(f.events) > maxFeedEvents {
		f.events = f.events[1:]
	}
}

// due returns the events after a sequence number whose delay has passed.
func (f *eventFeed) due(now tick.Instant, after uint64) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, ev := range f.events {
		if ev.ev.Seq > after && ev.due <= now {
			out = append(out, ev.ev)
		}
	}
	return out
}

// events sends the cache events when their delay has passed, and heartbeats.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body", "after is not a whole number")
		return
	}
	life := e.alive()
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	heartbeat(w, ": open\n\n")
	ticks := e.cfg.Timer.Every(max(min(e.cfg.EventDelay, e.cfg.Heartbeat), time.Millisecond))
	defer ticks.Stop()
	beat := e.cfg.Timer.Now()
	for {
		e.mu.Lock()
		evs := e.feed.due(e.cfg.Timer.Now(), after)
		e.mu.Unlock()
		if !speak(r, life) {
			return
		}
		for _, ev := range evs {
			heartbeat(w, "data: "+encode(ev)+"\n\n")
			after = ev.Seq
		}
		if now := e.cfg.Timer.Now(); now-beat >= e.cfg.Heartbeat {
			heartbeat(w, ": alive\n\n")
			beat = now
		}
		select {
		case <-ticks.C():
		case <-r.Context().Done():
			return
		case <-life.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}
