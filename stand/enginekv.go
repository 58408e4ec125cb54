package stand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// Link is a network link of limited bandwidth, which the transfers in progress
// share equally.
type Link struct {
	rate int64 // bytes per second, 0 for no limit

	mu     sync.Mutex
	flight int
}

// NewLink returns a link with a bandwidth of rate bytes per second, unlimited if
// rate is zero.
func NewLink(rate int64) *Link { return &Link{rate: rate} }

func (l *Link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flight++
}

func (l *Link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flight--
}

// time returns how long a transfer of n bytes takes at the present bandwidth of
// one transfer.
func (l *Link) time(n int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(n*int64(l.flight)) / float64(l.rate) * float64(time.Second))
}

// export is a KV cache that another engine may import. Engine.mu guards it.
type export struct {
	name    string
	attempt string
	prompt  string
	bytes   int64
	until   tick.Instant
	readers int // transfers in progress; the export does not expire before they end
}

// kvPayload is the end of the response with an export. The bytes of the cache are
// not sent; the response only takes as long as they would.
type kvPayload struct {
	Prompt string `json:"prompt"`
	Bytes  int64  `json:"bytes"`
}

const (
	transferSlices = 20                    // minimum number of parts in which an export is sent
	sliceTime      = 20 * time.Millisecond // maximum time for a part on an idle link
)

// slice returns the size of the parts in which n bytes are sent.
func (l *Link) slice(n int64) int64 {
	size := n / transferSlices
	if l.rate > 0 {
		size = min(size, int64(float64(l.rate)*sliceTime.Seconds()))
	}
	return max(size, 1)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("kv")
	x, stalled, life := e.openExport(name)
	if x == nil {
		refuse(w, http.StatusNotFound, engine.CodeKVGone, "no such export")
		return
	}
	defer e.closeExport(x)
	e.cfg.Link.begin()
	defer e.cfg.Link.end()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life.ctx, cancel)()
	if stalled {
		heartbeat(w, "\n")
		<-ctx.Done()
		return
	}
	slice := e.cfg.Link.slice(x.bytes)
	for sent := int64(0); sent < x.bytes; sent += slice {
		if tick.Sleep(ctx, e.cfg.Timer, e.cfg.Link.time(slice)) != nil {
			panic(http.ErrAbortHandler)
		}
		if !speak(r, life) {
			return
		}
		heartbeat(w, "\n")
	}
	writeJSON(w, kvPayload{Prompt: x.prompt, Bytes: x.bytes})
}

func (e *Engine) openExport(name string) (x *export, stalled bool, l *lifetime) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	x = e.exports[name]
	if x == nil {
		return nil, false, e.life
	}
	x.readers++
	e.counts.Exports++
	return x, e.takeFault(FaultStall, ""), e.life
}

func (e *Engine) closeExport(x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.readers--
}

// transfer is an import, in progress or completed. Engine.mu guards it, except for
// done and moved.
type transfer struct {
	cancel context.CancelFunc
	moved  chan struct{} // receives a value after bytes have arrived
	done   chan struct{} // closed when the transfer has ended
	ok     bool
	answer engine.ImportResponse
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in engine.ImportRequest
	if !readJSON(w, r, &in) {
		return
	}
	t, life := e.startImport(w, in)
	if t == nil {
		return
	}
	for {
		select {
		case <-t.done:
			if speak(r, life) {
				writeJSON(w, t.answer)
			}
			return
		case <-t.moved:
			if !speak(r, life) {
				return
			}
			heartbeat(w, "\n")
		case <-r.Context().Done():
			return
		case <-life.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// startImport starts a transfer. If the attempt has a completed one, that one is
// returned; one in progress is replaced.
func (e *Engine) startImport(w http.ResponseWriter, in engine.ImportRequest) (*transfer, *lifetime) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	a := e.attempts[in.Attempt]
	if a == nil || a.place == "" || a.place != in.Slot {
		refuse(w, http.StatusNotFound, engine.CodeUnknownAttempt, "no such place")
		return nil, nil
	}
	a.contact = e.cfg.Timer.Now()
	if a.transfer != nil && a.transfer.ok {
		return a.transfer, e.life
	}
	old := a.transfer
	ctx, cancel := context.WithCancel(e.life.ctx)
	t := &transfer{cancel: cancel, moved: make(chan struct{}, 1), done: make(chan struct{})}
	a.transfer = t
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer cancel()
		e.runImport(ctx, a, t, in, old)
	}()
	return t, e.life
}

func (e *Engine) runImport(ctx context.Context, a *attempt, t *transfer, in engine.ImportRequest, old *transfer) {
	begin := e.cfg.Timer.Now()
	p, refused, err := e.pull(ctx, in, t, old)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(t.done)
	t.answer = engine.ImportResponse{Attempt: in.Attempt}
	switch {
	case a.transfer != t || e.attempts[in.Attempt] != a:
		t.answer.Refusal = engine.Refusal{Code: engine.CodeUnknownAttempt, Message: "released or replaced"}
	case err != nil:
		t.answer.Refusal = engine.Refusal{Code: engine.CodeExportUnreadable, Message: err.Error()}
	case refused.Code != "":
		t.answer.Refusal = refused
	default:
		t.ok = true
		t.answer.Bytes = p.Bytes
		t.answer.TookMS = (e.cfg.Timer.Now() - begin).Milliseconds()
		a.decode = newDecode(a, p.Prompt)
		e.counts.Imports++
	}
}

// pull reads an export of another engine. It ends the older transfer after it has
// opened the new one, so that the export does not expire in between.
func (e *Engine) pull(ctx context.Context, in engine.ImportRequest, t, old *transfer) (p kvPayload, refused engine.Refusal, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, in.Source+engine.PathKV+in.KV, nil)
	if err != nil {
		return p, refused, err
	}
	resp, err := e.client.Do(req)
	if old != nil {
		old.cancel()
	}
	if err != nil {
		return p, refused, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(movedReader{r: resp.Body, moved: t.moved})
	if err != nil {
		return p, refused, err
	}
	if resp.StatusCode != http.StatusOK {
		err = json.Unmarshal(body, &refused)
		return p, refused, err
	}
	err = json.Unmarshal(body, &p)
	return p, refused, err
}

// movedReader sends to moved after each read that returned bytes.
type movedReader struct {
	r     io.Reader
	moved chan<- struct{}
}

func (m movedReader) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if n > 0 {
		select {
		case m.moved <- struct{}{}:
		default:
		}
	}
	return n, err
}
