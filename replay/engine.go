package replay

import (
	"container/heap"
	"container/list"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const (
	// kvLife is the time for which a prefill server keeps a KV cache.
	kvLife = 800 * time.Millisecond
	// emptyBatch is the token interval of an empty batch, as a fraction of that
	// of a full one.
	emptyBatch = 0.5
)

// engine is a fake backend server.
type engine struct {
	w    *world
	spec Server

	queue   []*job
	running *job
	cache   cache
	link    tick.Instant // end of the last transfer into the server
	stalled tick.Instant // no transfer proceeds until then

	taken   int
	streams streams
	done    float64 // tokens of a stream that was in the batch from the start
	seen    tick.Instant
	epoch   int // number of changes of the batch
	reports uint64
	events  uint64
}

// job is a prefill in the queue of a server.
type job struct {
	prompt   int64
	blocks   []uint64
	tokens   int64 // without those in the cache; set when it starts
	urgent   bool
	started  tick.Instant
	silent   bool // its response is lost
	finished func(j *job)
}

// prefill queues a job. Urgent jobs come before the others.
func (e *engine) prefill(j *job) {
	i := len(e.queue)
	for j.urgent && i > 0 && !e.queue[i-1].urgent {
		i--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = j
	e.startPrefill()
}

func (e *engine) startPrefill() {
	if e.running != nil || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.running = j
	j.started = e.w.now
	j.tokens = max(1, j.prompt-int64(e.cache.match(j.blocks))*place.BlockTokens)
	e.w.after(seconds(float64(j.tokens)/e.spec.PrefillRate), func() {
		if e.running != j {
			return
		}
		e.running = nil
		e.learn(j.blocks)
		j.finished(j)
		e.startPrefill()
	})
}

// cancel removes a job and returns the number of tokens that were run for it.
func (e *engine) cancel(j *job) int64 {
	if e.running == j {
		e.running = nil
		run := int64((e.w.now - j.started).Seconds() * e.spec.PrefillRate)
		e.startPrefill()
		return min(run, j.tokens)
	}
	for i, o := range e.queue {
		if o == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	return 0
}

// learn adds blocks to the cache and publishes the change.
func (e *engine) learn(blocks []uint64) {
	add, drop := e.cache.add(blocks)
	if len(add)+len(drop) == 0 {
		return
	}
	e.events++
	e.w.publish(place.CacheEvent{Server: e.spec.Name, Seq: e.events, Added: add, Evicted: drop})
}

// reserve takes a decode slot if one is free.
func (e *engine) reserve() bool {
	if e.taken >= e.spec.Slots {
		return false
	}
	e.taken++
	return true
}

func (e *engine) release() { e.taken-- }

// transfer starts the transfer of a KV cache of n bytes and returns when it ends.
func (e *engine) transfer(n int64) tick.Instant {
	e.link = max(e.link, e.stalled, e.w.now) + seconds(float64(n)/e.spec.LinkBandwidth)
	return e.link
}

// stream is a request in the batch of a decode server.
type stream struct {
	end   float64 // value of engine.done at which it ends
	seq   int
	index int
	ended func()
}

type streams []*stream

func (s streams) Len() int { return len(s) }
func (s streams) Less(i, j int) bool {
	if s[i].end != s[j].end {
		return s[i].end < s[j].end
	}
	return s[i].seq < s[j].seq
}
func (s streams) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}
func (s *streams) Push(x any) {
	st := x.(*stream)
	st.index = len(*s)
	*s = append(*s, st)
}
func (s *streams) Pop() any {
	n := len(*s) - 1
	st := (*s)[n]
	*s = (*s)[:n]
	st.index = -1
	return st
}

// tokenTime returns the present token interval of the batch.
func (e *engine) tokenTime() time.Duration {
	full := float64(len(e.streams)) / float64(max(e.spec.Slots, 1))
	return time.Duration(float64(e.spec.TokenInterval) * (emptyBatch + (1-emptyBatch)*full))
}

// decode adds a stream of n tokens to the batch.
func (e *engine) decode(n int64, ended func()) *stream {
	e.advance()
	e.w.serial++
	st := &stream{end: e.done + float64(n), seq: e.w.serial, ended: ended}
	heap.Push(&e.streams, st)
	e.plan()
	return st
}

// stop removes a stream from the batch.
func (e *engine) stop(st *stream) {
	if st.index < 0 {
		return
	}
	e.advance()
	heap.Remove(&e.streams, st.index)
	e.plan()
}

// advance updates the token count to the present time.
func (e *engine) advance() {
	if len(e.streams) > 0 {
		e.done += float64(e.w.now-e.seen) / float64(e.tokenTime())
	}
	e.seen = e.w.now
}

// plan schedules the end of the stream that ends first. It is called again when
// the batch changes.
func (e *engine) plan() {
	e.epoch++
	if len(e.streams) == 0 {
		return
	}
	epoch := e.epoch
	left := max(0, e.streams[0].end-e.done)
	e.w.after(time.Duration(left*float64(e.tokenTime())), func() {
		if e.epoch != epoch {
			return
		}
		e.advance()
		st := heap.Pop(&e.streams).(*stream)
		e.plan()
		st.ended()
	})
}

// report returns the present load report.
func (e *engine) report() place.LoadReport {
	e.reports++
	r := place.LoadReport{Server: e.spec.Name, Seq: e.reports, BusySlots: e.taken, TokenInterval: e.tokenTime()}
	for _, j := range e.queue {
		r.QueuedTokens += j.prompt
	}
	if j := e.running; j != nil {
		r.QueuedTokens += max(0, j.tokens-int64((e.w.now-j.started).Seconds()*e.spec.PrefillRate))
	}
	return r
}

// cache is a prefix cache that evicts the least recently used block.
type cache struct {
	room  int
	order *list.List // of uint64, the most recently used first
	at    map[uint64]*list.Element
}

func newCache(room int) cache {
	return cache{room: room, order: list.New(), at: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are in the cache.
func (c *cache) match(blocks []uint64) int {
	for n, h := range blocks {
		el, ok := c.at[h]
		if !ok {
			return n
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

func (c *cache) add(blocks []uint64) (added, dropped []uint64) {
	for _, h := range blocks {
		if _, ok := c.at[h]; ok || c.room == 0 {
			continue
		}
		c.at[h] = c.order.PushFront(h)
		added = append(added, h)
		if c.order.Len() <= c.room {
			continue
		}
		last := c.order.Back()
		old := last.Value.(uint64)
		c.order.Remove(last)
		delete(c.at, old)
		dropped = append(dropped, old)
	}
	return added, dropped
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func servers(t *Trace) []place.Server {
	out := make([]place.Server, len(t.Servers))
	for i := range t.Servers {
		out[i] = t.Servers[i].Server
	}
	return out
}

func engines(w *world, t *Trace) (set []*engine, byName map[ident.Server]*engine) {
	byName = make(map[ident.Server]*engine)
	for _, s := range t.Servers {
		e := &engine{w: w, spec: s, cache: newCache(s.CachedBlocks)}
		set = append(set, e)
		byName[s.Name] = e
	}
	return set, byName
}
