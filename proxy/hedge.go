package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// hedgeDelayShare is the fraction of the latency target after which an idempotent request without a response may be sent
	// to another server beside the first.
	hedgeDelayShare = 0.6
	// hedgeTimeFactor is how often the usual time of a response the second server of a hedged request is left, if the first
	// is not known to be sound. The two servers may differ in speed.
	hedgeTimeFactor = 1.1
)

// What became of hedged requests, for metrics.
const (
	HedgeFirst  = "first"  // the attempt that was begun first has answered the caller
	HedgeLater  = "later"  // one that was begun beside it has
	HedgeFailed = "failed" // none has succeeded
)

// HedgeEnds returns the values of the metric for hedged requests.
func HedgeEnds() []string { return []string{HedgeFirst, HedgeLater, HedgeFailed} }

// plainExchange is an exchange with a plain service. The goroutine of the handler alone records how attempts end, and
// decides what follows. Each attempt has a goroutine, which calls its server and reports the result.
type plainExchange struct {
	*exchange
	avoid    map[string]bool // keys of the servers that were tried
	attempts []*plainAttempt
	running  []*plainAttempt  // those whose results were not received
	results  chan plainResult // one for each attempt
	hedged   bool             // attempts have run beside each other
	refused  bool             // the admission of the request does not hold any more
}

// plainAttempt is the write of a request to one server.
type plainAttempt struct {
	x      *exchange
	server *route.Server
	req    *link.Request
	check  func() error // see exchange.checkWork
	start  tick.Instant
	late   time.Duration // time without a response after which the request may be sent to another server
	cancel context.CancelFunc
	memory *memory.Account // of the response
	beside bool            // another attempt was running when it was begun
}

// plainResult is how an attempt ended.
type plainResult struct {
	attempt     *plainAttempt
	resp        *response // without a body if it is incomplete, nil if there was none
	notExecuted bool      // the server states that it did not run the request
	received    int       // bytes of the body that the server has sent
	err         error     // why there is no whole response
	end         tick.Instant
}

// servePlain serves a request to a plain service. It tries one server after the other, and beside each other if a
// response takes long.
func (x *exchange) servePlain(ctx context.Context) {
	p := &plainExchange{exchange: x, avoid: make(map[string]bool), results: make(chan plainResult)}
	defer p.end()
	for !x.endIfTooLate() {
		if x.mayHaveRun && x.isSuspect() {
			x.giveUp(overloadRetry, suspectReason)
			return
		}
		if !x.admitParts(ctx) {
			return
		}
		p.refused = false
		s := x.pickServer(p.avoid, x.limitReached)
		if s == nil {
			x.giveUp(x.retryAfter(x.recordIneligible()), x.noServerLeft()+x.permits.reason())
			return
		}
		if !x.allowAttempt() {
			x.giveUp(overloadRetry, "no repeat is left")
			return
		}
		if p.try(ctx, s) {
			return
		}
		if ctx.Err() != nil {
			x.giveUp(overloadRetry, "time is up")
			return
		}
	}
}

// try writes the request to a server, and to others beside it if that takes longer than is usual for the service. It
// returns true if it has answered the caller, and false once no attempt is running.
func (p *plainExchange) try(ctx context.Context, s *route.Server) bool {
	late := p.h.cfg.Clock.After(p.begin(ctx, s).late)
	defer func() { late.Stop() }()
	for len(p.running) > 0 {
		due := true
		select {
		case r := <-p.results:
			if p.record(r) {
				return true
			}
			due = r.attempt == p.attempts[len(p.attempts)-1] // nothing is left to wait for before the next one
		case <-late.C():
		}
		if !due {
			continue
		}
		if a := p.hedge(ctx); a != nil {
			late.Stop()
			late = p.h.cfg.Clock.After(a.late)
		}
	}
	return false
}

// begin begins an attempt, which allowAttempt or hedge has paid for.
func (p *plainExchange) begin(ctx context.Context, s *route.Server) *plainAttempt {
	x := p.exchange
	ctx, cancel := context.WithCancel(ctx)
	mayHaveRun := x.mayHaveRun || len(p.running) > 0
	a := &plainAttempt{
		x: x, server: s, req: x.serverRequest(s, x.forwardInfo(s)), start: x.h.cfg.Clock.Now(), late: p.hedgeDelay(s), cancel: cancel,
		check:  func() error { return x.checkWorkAfter(mayHaveRun) },
		memory: x.h.cfg.Memory.Account(), beside: len(p.running) > 0,
	}
	p.avoid[s.Key()] = true
	p.attempts, p.running = append(p.attempts, a), append(p.running, a)
	x.h.loads.add(s.Key(), 1)
	go func() { p.results <- a.run(ctx) }()
	return a
}

// hedgeDelay returns the time without a response of a server after which a request is sent to another one. If all servers
// are slow, another one would not be faster. The delay is therefore derived from the response times of the service. A server
// that is not known to be sound may not answer at all, so another one is left the time that it usually takes, if there is
// that much.
func (p *plainExchange) hedgeDelay(s *route.Server) time.Duration {
	minDelay := time.Duration(hedgeDelayShare * float64(p.route.LatencyTarget))
	delay := p.serviceTime(lateDeviations)
	if !p.h.cfg.Health.Sound(s.Key()) && p.remaining() >= minDelay+p.serviceTime(0) {
		delay = min(delay, p.remaining()-time.Duration(hedgeTimeFactor*float64(p.serviceTime(1))))
	}
	return max(minDelay, delay)
}

// usualTime returns the response time of the service plus the given number of its mean deviations.
func (p *plainExchange) serviceTime(deviations float64) time.Duration {
	return p.h.responseTimes.UpperBound(p.service.Name, deviations)
}

// hedges reports whether attempts of the request may run beside each other.
func (x *exchange) hedges() bool {
	return !x.placed() && x.route.Kind == route.Idempotent && x.route.LatencyTarget > 0
}

// hedge begins and returns another attempt beside those that are running, or returns nil. It needs an untried server and a
// retry of the budget. A server with a limit gets no hedged requests.
func (p *plainExchange) hedge(ctx context.Context) *plainAttempt {
	if !p.hedges() || p.refused || p.isSuspect() || ctx.Err() != nil {
		return nil
	}
	if n := len(p.running); n == 0 || p.runCount()+n >= p.route.MaxAttempts {
		return nil
	}
	s := p.pickServer(p.avoid, p.h.cfg.Permits.Limited)
	if s == nil || !p.arrivals.count(p.spendRetry) {
		return nil
	}
	last := p.running[len(p.running)-1]
	p.h.cfg.Log.Info().Str("server", last.server.ID).Str("id", p.info.ID).Dur("silent", p.h.cfg.Clock.Now()-last.start).Str("next", s.ID).
		Msg("relay: server takes long; sending the request to another one beside it")
	p.hedged = true
	return p.begin(ctx, s)
}

// record records the result of an attempt. It returns true if it has answered the caller.
func (p *plainExchange) record(r plainResult) bool {
	x, s := p.exchange, r.attempt.server
	p.remove(r.attempt)
	if r.resp == nil {
		if errors.Is(r.err, crash.ErrNotAdmitted) {
			p.refused = true
			delete(p.avoid, s.Key()) // it may be called once the request is admitted again
		}
		if fail.Outcome(r.err) != ident.NotRun {
			x.recordBroken(s, r.err)
		}
		x.recordNoResponse(s, r.err)
		return false
	}
	x.recordWrite(s)
	if r.notExecuted {
		if x.h.cfg.Protocol.WrongServer(r.resp.status) {
			x.recordFailure(s, health.Absent)
		}
		return false
	}
	x.mayHaveRun = true
	x.runs.Add(1)
	if r.err != nil {
		x.h.cfg.Log.Info().Err(r.err).Str("server", s.ID).Str("id", x.info.ID).Int("received", r.received).Msg("relay: invalid or incomplete response; trying another server if the route allows it")
		x.recordBroken(s, r.err)
		x.recordError(s, r.err)
		return false
	}
	if r.resp.status >= http.StatusInternalServerError {
		x.h.cfg.Health.RecordFailure(s.Key(), health.BadResponse, r.end)
		if x.route.Kind == route.Idempotent && (len(p.running) > 0 || x.runCount() < x.route.MaxAttempts) {
			x.savedFailure = r.resp
			return false
		}
	} else {
		x.h.cfg.Health.RecordSuccess(s.Key(), r.end)
		x.recordBegun()
		x.h.responseTimes.Add(x.service.Name, r.end-r.attempt.start)
		x.recordUsual(0)
		x.h.speeds.Record(s.Key(), r.end-r.attempt.start, r.end)
		p.countHedge(r.attempt)
	}
	p.stop()
	x.writeResponse(r.resp)
	return true
}

// countHedge counts a hedged request that an attempt has answered, nil for none.
func (p *plainExchange) countHedge(a *plainAttempt) {
	if !p.hedged {
		return
	}
	p.hedged = false
	end := HedgeFirst
	switch {
	case a == nil:
		end = HedgeFailed
	case a.beside:
		end = HedgeLater
	}
	p.h.cfg.Meter.Count("hedged_requests_total", "end", end, 1)
}

// remove removes an attempt from those that are running.
func (p *plainExchange) remove(a *plainAttempt) {
	p.running = slices.DeleteFunc(p.running, func(o *plainAttempt) bool { return o == a })
}

// stop cancels the attempts that are running, and waits for their ends, so that nothing is written once the caller has
// its answer.
func (p *plainExchange) stop() {
	for _, a := range p.running {
		a.cancel()
	}
	for len(p.running) > 0 {
		r := <-p.results
		p.remove(r.attempt)
		p.recordCanceled(r)
	}
}

// recordCanceled records an attempt that was canceled because another one has answered. That is no failure of its server,
// unless it was silent for longer than is usual.
func (p *plainExchange) recordCanceled(r plainResult) {
	x, a := p.exchange, r.attempt
	silent := r.end - a.start
	switch {
	case r.resp == nil && fail.Outcome(r.err) == ident.NotRun:
		x.arrivals.uncount()
		return
	case r.resp == nil && silent >= max(a.late, p.serviceTime(0)):
		x.h.cfg.Health.RecordSilence(a.server.Key(), a.start, r.end)
	}
	x.recordWrite(a.server)
	if !r.notExecuted {
		x.mayHaveRun = true
		x.runs.Add(1)
	}
	x.h.cfg.Log.Info().Str("server", a.server.ID).Str("id", x.info.ID).Dur("took", silent).
		Msg("relay: attempt ended because another server has answered")
}

// end ends the exchange. It frees the responses.
func (p *plainExchange) end() {
	p.stop()
	p.countHedge(nil)
	for _, a := range p.attempts {
		a.cancel()
		a.memory.Free()
	}
}

// run sends the request to the server and reads the response.
func (a *plainAttempt) run(ctx context.Context) plainResult {
	defer a.x.h.loads.add(a.server.Key(), -1)
	r := a.call(ctx)
	r.attempt, r.end = a, a.x.h.cfg.Clock.Now()
	return r
}

func (a *plainAttempt) call(ctx context.Context) plainResult {
	x, s := a.x, a.server
	resp, err := x.runIf(ctx, s, a.req, a.check)
	if err != nil {
		return plainResult{err: err}
	}
	defer resp.Close()
	r := plainResult{resp: &response{status: resp.Status, header: resp.Header}}
	if x.h.cfg.Protocol.NotExecuted(resp.Status, resp.Header) {
		r.notExecuted = true
		x.release(resp)
		return r
	}
	second := x.secondConn(ctx, s, resp)
	defer second.Close()
	body := &countedReader{r: resp.Body}
	r.resp.body, err = a.memory.ReadAll(body, resp.Length(), maxResponseBytes)
	r.received = body.n
	r.err = x.checkEnd(ctx, s, resp, second, err)
	if r.err == nil && resp.Status < http.StatusMultipleChoices && !x.h.cfg.Protocol.Sealed(resp.Header) {
		r.err = errUnsealed
	}
	return r
}

// countedReader counts the bytes that are read.
type countedReader struct {
	r io.Reader
	n int
}

// Read implements io.Reader.
func (c *countedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}
