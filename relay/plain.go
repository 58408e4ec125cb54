package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

const (
	// plainBytes bounds an answer that is kept whole before it is passed on, and
	// controlBytes one to a call of the router itself.
	plainBytes   = 4 << 20
	controlBytes = 64 << 10
	// abroadLoad is how many requests more a server of the own region may have
	// before one abroad is preferred.
	abroadLoad = 8
	// hedgeShare is the part of the objective after which an idempotent
	// request that was not answered may be repeated elsewhere.
	hedgeShare = 0.6
	// lateDeviations is how many mean deviations later than the mean an answer
	// is still usual.
	lateDeviations = 4
	// noServerRetry is when a caller may come back while no server is known.
	noServerRetry = 500 * time.Millisecond
	// shedRetry is when a caller may come back after all servers were full.
	shedRetry = 400 * time.Millisecond
)

// errTooLong reports an answer over plainBytes.
var errTooLong = errors.New("answer is too long")

// errUnsealed reports a success without the server's seal.
var errUnsealed = errors.New("answer bears no seal")

// loads counts the requests of this instance at plain servers.
type loads struct {
	mu sync.Mutex
	n  map[string]int
}

func newLoads() loads { return loads{n: make(map[string]int)} }

func (l *loads) add(key string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n[key] += n; l.n[key] == 0 {
		delete(l.n, key)
	}
}

func (l *loads) of(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n[key]
}

// plain serves a request of a plain service.
func (j *job) plain(ctx context.Context) {
	avoid := make(map[string]bool)
	for {
		s := j.pick(avoid)
		if s == nil {
			j.giveUp(j.back(), "no server of "+j.service.Name+" is left to try")
			return
		}
		if !j.mayRepeat() {
			j.giveUp(shedRetry, "no repeat is left")
			return
		}
		avoid[s.Key()] = true
		if j.plainTry(ctx, s, avoid) {
			return
		}
		if ctx.Err() != nil {
			j.giveUp(shedRetry, "time is up")
			return
		}
	}
}

// back returns the time after which a server of the service may take a request
// that none takes now.
func (j *job) back() time.Duration {
	now := j.h.cfg.Clock.Now()
	wait := time.Duration(0)
	for _, s := range j.h.cfg.Live.Fleet().ServersOf(j.service.Name) {
		until := j.h.cfg.Health.ClosedUntil(s.Key(), now)
		if until > now && until != health.Forever && (wait == 0 || until-now < wait) {
			wait = until - now
		}
	}
	if wait == 0 {
		return noServerRetry
	}
	return wait
}

// pick returns the server with the least load, nil if all were tried or want no
// request. Servers that are set aside come last.
func (j *job) pick(avoid map[string]bool) *route.Server {
	now := j.h.cfg.Clock.Now()
	var best *route.Server
	var cost float64
	for _, s := range j.h.cfg.Live.Fleet().ServersOf(j.service.Name) {
		if avoid[s.Key()] || j.closed(s) {
			continue
		}
		c := float64(j.h.counts.of(s.Key())) + rand.Float64()
		if s.Region != j.h.cfg.Region {
			c += abroadLoad
		}
		if !j.h.cfg.Health.Usable(s.Key(), now) {
			c += plainBytes // after all others
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	return best
}

// plainTry writes the request to a server. It returns true if the request is
// answered. The servers in avoid were tried.
func (j *job) plainTry(ctx context.Context, s *route.Server, avoid map[string]bool) bool {
	h := j.h
	key := s.Key()
	h.counts.add(key, 1)
	defer h.counts.add(key, -1)
	h.cfg.Health.RecordRequest(key, h.cfg.Clock.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if j.route.Kind == route.Idempotent && j.runs+1 < j.route.MaxAttempts && j.route.LatencyTarget > 0 {
		hedged := make(chan struct{})
		go j.hedge(ctx, cancel, avoid, hedged)
		defer func() {
			cancel()
			<-hedged
		}()
	}
	start := h.cfg.Clock.Now()
	a, err := j.do(ctx, s, j.call(s, j.send(s)))
	if err != nil {
		j.lost(s, err)
		return false
	}
	defer a.Close()
	j.writes++
	if h.cfg.Protocol.NotExecuted(a.Status, a.Header) {
		j.misled(s, a)
		j.drop(a)
		return false
	}
	j.sent = true
	j.runs++
	b, err := j.whole(a)
	defer h.answers.Add(-int64(len(b)))
	if err == nil && a.Status < http.StatusMultipleChoices && !h.cfg.Protocol.Sealed(a.Header) {
		err = errUnsealed
	}
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", j.ask.ID).Msg("relay: answer is not whole")
		h.cfg.Health.RecordFailure(key, health.BadResponse, h.cfg.Clock.Now())
		return false
	}
	if a.Status >= http.StatusInternalServerError {
		h.cfg.Health.RecordFailure(key, health.BadResponse, h.cfg.Clock.Now())
		if j.route.Kind == route.Idempotent && j.runs < j.route.MaxAttempts {
			j.saved = &reply{status: a.Status, header: a.Header, body: b}
			return false
		}
	} else {
		h.cfg.Health.RecordSuccess(key, h.cfg.Clock.Now())
		h.answered.Add(j.service.Name, h.cfg.Clock.Now()-start)
	}
	j.pass(&reply{status: a.Status, header: a.Header, body: b})
	return true
}

// hedge ends a try that takes longer than is usual for its service and leaves
// time for another one. It does so only if there is a server left to try and a
// repeat for it, since the answer may still come: where all servers are slow,
// to begin anew helps nobody. It closes done when it ends.
func (j *job) hedge(ctx context.Context, cut context.CancelFunc, avoid map[string]bool, done chan<- struct{}) {
	defer close(done)
	h := j.h
	least := time.Duration(hedgeShare * float64(j.route.LatencyTarget))
	t := h.cfg.Clock.After(max(least, h.answered.UpperBound(j.service.Name, lateDeviations)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
		if j.pick(avoid) != nil && j.repeat() {
			j.paid = true
			cut()
		}
	}
}

// lost takes note of a write that brought no answer.
func (j *job) lost(s *route.Server, err error) {
	h := j.h
	h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", j.ask.ID).Msg("relay: no answer")
	if fail.Outcome(err) != ident.NotRun {
		j.writes++
		j.sent = true
		j.runs++
	}
	j.blame(s, failure(err))
}

// drop reads the rest of an answer that is not passed on.
func (j *job) drop(a *link.Response) {
	// An answer that cannot be read costs its connection, which Close sees.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, plainBytes))
}

// whole reads an answer to its end, up to a number of bytes.
func whole(r io.Reader, most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(b) > most {
		return nil, errTooLong
	}
	return b, nil
}

// whole reads an answer to its end while the answers that are kept at this
// instance have room. What it returns counts in Handler.answers, and is empty if
// there is an error.
func (j *job) whole(a *link.Response) ([]byte, error) {
	r := &kept{r: a.Body, h: j.h}
	b, err := whole(r, plainBytes)
	if err != nil {
		j.h.answers.Add(-r.n)
		return nil, err
	}
	return b, nil
}

// kept counts the bytes of an answer that is being kept.
type kept struct {
	r io.Reader
	h *Handler
	n int64
}

func (k *kept) Read(p []byte) (int, error) {
	n, err := k.r.Read(p)
	k.n += int64(n)
	full := k.h.answers.Add(int64(n)) > k.h.cfg.MaxBufferedBytes && k.h.cfg.MaxBufferedBytes > 0
	if full && k.n > controlBytes {
		return n, errTooLong // common answers have room next to those without end
	}
	return n, err
}

// reply is a whole answer of a server.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// pass gives a whole answer to the caller.
func (j *job) pass(a *reply) {
	j.head(a.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	j.began, j.status, j.done = true, a.status, true
	j.note = "answered " + strconv.Itoa(a.status)
	j.w.WriteHeader(a.status)
	_, _ = j.w.Write(a.body) // a caller that has left needs no answer
}
