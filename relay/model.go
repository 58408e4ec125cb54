package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// maxRounds bounds the placements of one request.
	maxRounds = 5
	// prefillLeast and prefillFactor bound the wait for a prefill: a multiple
	// of what was expected, and no less than the least.
	prefillLeast  = 300 * time.Millisecond
	prefillFactor = 2.5
	// handleShare is the part of the life of a KV cache within which a second
	// server may still be in time to fetch it.
	handleShare = 0.5
	// silentLimit is how long a resumable stream may be silent before it goes
	// on at another server.
	silentLimit = time.Second
	// patience is the part of the objective for which callers wait for the
	// first event: they leave after a multiple of the objective.
	patience = 3.6
	// freeLimit bounds the call that frees a KV cache.
	freeLimit = time.Second
	// unhintedShare is the part of the most tokens that a request without an
	// estimate is expected to make.
	unhintedShare = 0.5
	// urgencyMost is the least urgent rank that servers know.
	urgencyMost = 9
)

// cache is a KV cache that waits at a prefill server.
type cache struct {
	server *route.Server
	handle string
	at     tick.Instant // when it was made
	tries  int          // decode servers that did not fetch it
}

// hold is a reservation at a decode server.
type hold struct {
	server *route.Server
	name   string
}

// model serves a request of a model.
func (j *job) model(ctx context.Context) {
	j.lastID = j.ask.After
	m := &modelJob{job: j, want: j.want()}
	defer m.release()
	for ; m.rounds < maxRounds; m.rounds++ {
		p, err := j.h.cfg.Placer.Place(ctx, m.want)
		if err != nil {
			m.unplaced(err)
			return
		}
		if m.round(ctx, p) {
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	j.giveUp(shedRetry, "no server has taken the request in time")
}

// modelJob is a model request on its way through servers.
type modelJob struct {
	*job
	want   admit.Want
	kv     *cache
	held   *hold
	rounds int // placements that came to more than a reservation
	reads  int // prefills that were asked for
	// blamed is the number of servers in want.Avoid before the first one that
	// did not fetch kv.
	blamed int
}

func (j *job) want() admit.Want {
	w := admit.Want{
		ID:       j.h.serial.Add(1),
		Service:  j.service.Name,
		Prompt:   j.ask.Prompt,
		Output:   j.expect(),
		Priority: j.priority(),
		By:       j.start + j.route.Objective,
		Until:    min(j.until, j.start+time.Duration(patience*float64(j.route.Objective))),
	}
	if j.cust != nil {
		w.Customer = j.cust.Name
	}
	return w
}

// expect returns the tokens that a request is likely to make.
func (j *job) expect() int {
	if j.ask.Hint > 0 {
		return min(j.ask.Hint, j.ask.Output)
	}
	return int(unhintedShare * float64(j.ask.Output))
}

func (j *job) priority() int {
	if j.cust != nil && j.cust.HasPriority {
		return j.cust.Priority
	}
	return j.route.Priority
}

// unplaced answers a request for which no place was found.
func (m *modelJob) unplaced(err error) {
	if r, ok := fail.AsRefusal(err); ok {
		m.giveUp(r.Retry(), r.Reason())
		return
	}
	m.giveUp(shedRetry, "no place was found in time")
}

// round runs the request once and gives its places back.
func (m *modelJob) round(ctx context.Context, p *admit.Placement) bool {
	defer m.h.cfg.Placer.Done(p)
	m.steps.placed = m.h.cfg.Clock.Now() - m.start
	m.steps.decode, m.steps.prefill = p.Decode.ID, ""
	if p.Prefill != nil {
		m.steps.prefill = p.Prefill.ID
	}
	return m.try(ctx, p)
}

// try runs the request on the servers of a placement. It returns true if
// nothing more is to be tried.
func (m *modelJob) try(ctx context.Context, p *admit.Placement) bool {
	if !m.reserve(ctx, p) {
		return m.gone()
	}
	defer m.drop()
	if p.Prefill != nil && !m.prefill(ctx, p) {
		return m.gone()
	}
	if !m.mayRepeat() {
		m.giveUp(shedRetry, "no repeat is left")
		return true
	}
	out := m.send(p.Decode)
	out.After = m.lastID
	out.Ranked, out.Urgency = true, min(max(m.want.Priority, 0), urgencyMost)
	if m.kv != nil {
		out.KVFrom = m.kv.server.Addr + "/" + m.kv.handle
	}
	if m.held != nil {
		out.Hold = m.held.name
	}
	c := m.call(p.Decode, out)
	if m.route.Resumable && m.runs+1 < m.route.MaxTries {
		c.HeadLimit = max(m.want.By-m.h.cfg.Clock.Now(), silentLimit)
		c.IdleLimit = silentLimit
	}
	m.h.cfg.Health.Chosen(p.Decode.Key(), m.h.cfg.Clock.Now())
	a, err := m.h.cfg.Link.Do(ctx, c)
	if err != nil {
		m.lost(p.Decode, err)
		m.avoid(p.Decode)
		return !m.repeatable()
	}
	defer a.Close()
	m.writes++
	if m.h.cfg.Wire.Disowned(a.Status, a.Header) {
		m.job.drop(a)
		m.disowned(p)
		return false
	}
	m.kv = nil   // it was fetched, or the server runs without it
	m.held = nil // it was used
	m.sent = true
	m.runs++
	return m.answer(a, p)
}

// repeatable tells whether another server may get the request, and answers it
// otherwise.
func (m *modelJob) repeatable() bool {
	if m.gone() || m.sent && (!m.route.Repeatable() || m.runs >= m.route.MaxTries) {
		m.giveUp(shedRetry, "the server gave no answer")
		return false
	}
	return true
}

func (m *modelJob) avoid(s *route.Server) { m.want.Avoid = append(m.want.Avoid, s.Key()) }

// disowned decides on the second way after a server did not run the request:
// it had no room, or it could not fetch the KV cache. A second server tells
// which.
func (m *modelJob) disowned(p *admit.Placement) {
	now := m.h.cfg.Clock.Now()
	if m.kv == nil {
		m.avoid(p.Decode)
		return
	}
	if m.kv.tries == 0 {
		m.blamed = len(m.want.Avoid)
	}
	m.avoid(p.Decode)
	m.kv.tries++
	life := time.Duration(handleShare * float64(m.service.Engine.HandleTTL))
	if m.kv.tries == 1 && now-m.kv.at < life {
		return
	}
	m.h.cfg.Health.Failed(m.kv.server.Key(), false, now)
	m.release()
	m.want.Read = false
	m.want.Alone = true
	// The decode servers could not fetch what was not there.
	m.want.Avoid = m.want.Avoid[:m.blamed]
}

// prefill has the prompt read at the placement's prefill server.
func (m *modelJob) prefill(ctx context.Context, p *admit.Placement) bool {
	h := m.h
	s := p.Prefill
	if m.reads > 0 && !h.cfg.Budget.Spend(m.service.Name) {
		m.want.Alone = true
		return false
	}
	m.reads++
	ctx, cancel := context.WithTimeout(ctx, max(prefillLeast, time.Duration(prefillFactor*float64(p.Start))))
	defer cancel()
	out := m.send(s)
	out.Prefill = true
	out.After = m.lastID
	start := h.cfg.Clock.Now()
	h.cfg.Health.Chosen(s.Key(), start)
	handle, err := m.readPrompt(ctx, s, out)
	took := h.cfg.Clock.Now() - start
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.ask.ID).Msg("relay: prompt was not read")
		if !m.gone() {
			h.cfg.Health.Failed(s.Key(), fail.Outcome(err) == ident.NotRun, h.cfg.Clock.Now())
		}
		m.avoid(s)
		m.want.Alone = m.reads > 1
		return false
	}
	h.cfg.Health.Served(s.Key())
	h.cfg.Placer.Read(p, took)
	m.steps.read = h.cfg.Clock.Now() - m.start
	m.kv = &cache{server: s, handle: handle, at: h.cfg.Clock.Now()}
	m.want.Read = true
	return true
}

func (m *modelJob) readPrompt(ctx context.Context, s *route.Server, out Send) (string, error) {
	c := m.call(s, out)
	c.ID = ""
	a, err := m.h.cfg.Link.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := whole(a)
	if err != nil {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	if a.Status != http.StatusOK {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errors.Errorf("status %d", a.Status))
	}
	handle, err := m.h.cfg.Wire.Handle(b)
	if err != nil {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	return handle, nil
}

// reserve has the placement's decode server set memory aside, so that the
// prompt is not read in vain. A server that has none, or that does not answer,
// is passed over.
func (m *modelJob) reserve(ctx context.Context, p *admit.Placement) bool {
	engine := m.service.Engine
	if engine.HoldTTL <= 0 {
		return true
	}
	h := m.h
	s := p.Decode
	ctx, cancel := context.WithTimeout(ctx, 2*m.reach(s))
	defer cancel()
	path, body, err := h.cfg.Wire.HoldCall(m.want.Need(), engine.HoldTTL)
	if err != nil {
		h.cfg.Log.Error().Err(err).Msg("relay: encode reservation")
		return true
	}
	a, err := h.cfg.Link.Do(ctx, &link.Call{
		Addr: s.Addr, Method: http.MethodPost, Path: path, Host: m.r.Host, Header: jsonHeader, Body: body,
		DialLimit: m.reach(s),
	})
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.ask.ID).Msg("relay: no reservation")
		if !m.gone() {
			h.cfg.Health.Failed(s.Key(), true, h.cfg.Clock.Now())
		}
		m.avoid(s)
		m.rounds-- // it is not asked again, so that this ends by itself
		return false
	}
	defer a.Close()
	b, err := whole(a)
	if err != nil || a.Status != http.StatusOK {
		h.cfg.Placer.Full(s)
		m.avoid(s)
		return false
	}
	name, err := h.cfg.Wire.Hold(b)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Msg("relay: reservation cannot be read")
		return true
	}
	m.held = &hold{server: s, name: name}
	return true
}

// jsonHeader goes with the calls of the router itself.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// drop gives up a reservation that was not used.
func (m *modelJob) drop() {
	if m.held == nil {
		return
	}
	m.discard(m.held.server, m.h.cfg.Wire.DropPath(m.held.name))
	m.held = nil
}

// release frees a KV cache that nobody will fetch.
func (m *modelJob) release() {
	kv := m.kv
	m.kv = nil
	if kv == nil || m.h.cfg.Clock.Now()-kv.at > m.service.Engine.HandleTTL {
		return
	}
	m.discard(kv.server, m.h.cfg.Wire.FreePath(kv.handle))
}

// discard has a server free what it keeps for this request. If that fails, it
// lapses.
func (m *modelJob) discard(s *route.Server, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	a, err := m.h.cfg.Link.Do(ctx, &link.Call{Addr: s.Addr, Method: http.MethodDelete, Path: path, Host: m.r.Host})
	if err != nil {
		m.h.cfg.Log.Info().Err(err).Str("server", s.ID).Msg("relay: not freed, it lapses")
		return
	}
	defer a.Close()
	m.job.drop(a)
}

// answer passes the answer of a decode server on. It returns true if nothing
// more is to be tried.
func (m *modelJob) answer(a *link.Answer, p *admit.Placement) bool {
	h := m.h
	key := p.Decode.Key()
	if a.Status != http.StatusOK {
		b, err := whole(a)
		h.cfg.Health.Failed(key, false, h.cfg.Clock.Now())
		m.avoid(p.Decode)
		if m.runs < m.route.MaxTries && m.route.Repeatable() {
			if err == nil {
				m.saved = &reply{status: a.Status, header: a.Header, body: b}
			}
			return false
		}
		if err != nil || m.began {
			m.giveUp(shedRetry, "the server failed")
			return true
		}
		m.pass(&reply{status: a.Status, header: a.Header, body: b})
		return true
	}
	err := m.stream(a, p)
	if err == nil {
		h.cfg.Health.Served(key)
		m.note = "answered in full"
		return true
	}
	h.cfg.Log.Info().Err(err).Str("server", p.Decode.ID).Str("id", m.ask.ID).Int64("event", m.lastID).
		Msg("relay: stream broke")
	if !m.gone() {
		h.cfg.Health.Failed(key, false, h.cfg.Clock.Now())
	}
	m.avoid(p.Decode)
	return !m.repeatable()
}

// errOrder reports an event whose id does not follow.
var errOrder = errors.New("event does not follow the one before it")

// stream passes events on, each one whole, until the stream ends.
func (m *modelJob) stream(a *link.Answer, p *admit.Placement) error {
	if !m.began && !m.h.cfg.Wire.Sealed(a.Header) {
		return errUnsealed
	}
	rc := http.NewResponseController(m.w)
	s := event.NewScanner(a.Body, maxEvent)
	for s.Scan() {
		if id := s.ID(); id != event.NoID {
			if m.lastID != event.NoID && id <= m.lastID {
				return errOrder
			}
			m.lastID = id
		}
		if !m.began {
			m.h.cfg.Placer.Read(p, 0)
			m.steps.first = m.h.cfg.Clock.Now() - m.start
			m.head(a.Header)
			m.began = true
			m.w.WriteHeader(a.Status)
		}
		if _, err := m.w.Write(s.Bytes()); err != nil {
			return err
		}
		if s.Buffered() {
			continue
		}
		if err := rc.Flush(); err != nil {
			return err
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	if !m.began {
		m.head(a.Header)
		m.began = true
		m.w.WriteHeader(a.Status)
	}
	return rc.Flush()
}

// maxEvent bounds an event of a stream, in bytes.
const maxEvent = 1 << 20
