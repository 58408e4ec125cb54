package spread

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

const (
	valuesTimeout = 5 * time.Second
	// maxValues bounds the values of one call between instances.
	maxValues = 16
	// maxHeld bounds the parts that are kept of versions not yet in force.
	maxHeld = 1024
	// maxSources bounds the sources that are tried for one version.
	maxSources = 4
)

// source is where a version can be had: a peer, or the platform with the head
// that it gave.
type source struct {
	peer ident.Instance // empty for the platform
	head []byte
}

// offer is the newest version that is wanted and where it can be had.
type offer struct {
	version Version
	sources []source
	parts   map[[sha256.Size]byte][]byte // what has been fetched of it
}

// offered takes note that a source has a version.
func (f *Fleet) offered(v Version, s source) {
	if !f.ledger.wants(v) {
		return
	}
	if s.peer != "" {
		f.behind(v)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case v.After(f.pending.version):
		f.pending = offer{version: v, sources: []source{s}, parts: f.pending.parts}
		if f.pending.parts == nil {
			f.pending.parts = make(map[[sha256.Size]byte][]byte)
		}
	case v == f.pending.version && len(f.pending.sources) < maxSources:
		f.pending.sources = append(f.pending.sources, s)
	default:
		return
	}
	notify(f.wanted)
}

// runPulls fetches the versions that are offered.
func (f *Fleet) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wanted:
			f.pull(ctx)
		}
	}
}

// pull tries the sources of the pending version until it is in force, refused
// or no source is left. Peers offer it again with their next digest.
func (f *Fleet) pull(ctx context.Context) {
	for ctx.Err() == nil {
		v, s, ok := f.nextSource()
		if !ok {
			return
		}
		err := f.fetch(ctx, v, s)
		if err != nil {
			f.stats.failed()
			f.cfg.Log.Debug().Err(err).Str("version", v.String()).Msg("spread: pull failed")
			f.retryLater(v, s)
		}
	}
}

// retry is an offer of the platform whose parts could not all be read.
type retry struct {
	version Version
	source  source
	waits   bool
	due     tick.Instant
	backoff plat.Backoff
}

// retryLater remembers an offer of the platform. Peers offer theirs again.
func (f *Fleet) retryLater(v Version, s source) {
	if s.peer != "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retry.version != v {
		f.retry.backoff.Reset()
	}
	f.retry.version = v
	f.retry.source = s
	f.retry.waits = true
	f.retry.due = f.cfg.Timer.Now() + f.retry.backoff.Next()
}

// offerAgain repeats an offer of the platform that is due.
func (f *Fleet) offerAgain() {
	f.mu.Lock()
	r := f.retry
	due := r.waits && f.cfg.Timer.Now() >= r.due
	if due {
		f.retry.waits = false
	}
	f.mu.Unlock()
	if due {
		f.offered(r.version, r.source)
	}
}

// nextSource takes one source of the pending version from the list.
func (f *Fleet) nextSource() (Version, source, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ledger.wants(f.pending.version) {
		f.pending = offer{}
		return Version{}, source{}, false
	}
	if len(f.pending.sources) == 0 {
		f.pending.version = Version{} // a new offer starts afresh with the same parts
		return Version{}, source{}, false
	}
	s := f.pending.sources[0]
	f.pending.sources = f.pending.sources[1:]
	return f.pending.version, s, true
}

var errBadValue = errors.New("value does not have its sum")

// fetch gets the head and the missing parts from one source and takes the
// version if it is whole.
func (f *Fleet) fetch(ctx context.Context, v Version, s source) error {
	data := s.head
	if data == nil {
		got, err := f.ask(ctx, s, []table.Part{{Sum: v.Sum}})
		if err != nil {
			return err
		}
		data = got[0]
	}
	head, err := table.ParseHead(data)
	if err == nil && head.Revision != v.Revision {
		err = errors.Wrapf(table.ErrHead, "it has revision %d", head.Revision)
	}
	if err != nil {
		f.ledger.refuse(v, []table.Fault{{File: table.HeadName, Reason: err.Error()}})
		return nil
	}
	if err := f.fetchParts(ctx, s, f.missing(head)); err != nil {
		return err
	}
	parts := make([][]byte, len(head.Parts))
	for i, p := range head.Parts {
		parts[i] = f.held(p.Sum)
	}
	if f.ledger.take(v, data, head, parts, f.cfg.Timer.Now()) {
		f.inForce()
	} else if !f.ledger.wants(v) {
		f.cfg.Log.Warn().Str("version", v.String()).Msg("spread: table refused")
	}
	return nil
}

// missing returns the parts of a head that are not here yet.
func (f *Fleet) missing(h table.Head) []table.Part {
	var out []table.Part
	for _, p := range h.Parts {
		if f.held(p.Sum) == nil {
			out = append(out, p)
		}
	}
	return out
}

// held returns a part of the version in force or of the pending one.
func (f *Fleet) held(sum [sha256.Size]byte) []byte {
	if data := f.ledger.value(sum); data != nil {
		return data
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending.parts[sum]
}

func (f *Fleet) fetchParts(ctx context.Context, s source, missing []table.Part) error {
	for len(missing) > 0 {
		n := min(len(missing), maxValues)
		got, err := f.ask(ctx, s, missing[:n])
		f.keep(missing[:n], got)
		if err != nil {
			return err
		}
		missing = missing[n:]
	}
	return nil
}

// keep stores the parts that came, so that another source need not send them.
func (f *Fleet) keep(parts []table.Part, values [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending.parts == nil || len(f.pending.parts) > maxHeld {
		f.pending.parts = make(map[[sha256.Size]byte][]byte)
	}
	for i, data := range values {
		f.pending.parts[parts[i].Sum] = data
	}
}

// ask gets values by their sums. It returns those that came before an error.
func (f *Fleet) ask(ctx context.Context, s source, parts []table.Part) ([][]byte, error) {
	if s.peer == "" {
		return f.askPlatform(ctx, parts)
	}
	return f.askPeer(ctx, s.peer, parts)
}

func (f *Fleet) askPlatform(ctx context.Context, parts []table.Part) ([][]byte, error) {
	var out [][]byte
	for _, p := range parts {
		v, err := f.cfg.Platform.Read(ctx, p.Name())
		f.stats.read(len(v.Data))
		if err != nil {
			return out, err
		}
		if sha256.Sum256(v.Data) != p.Sum {
			return out, fail.New("spread: read", p.Name(), ident.Done, errBadValue)
		}
		out = append(out, v.Data)
	}
	return out, nil
}

func (f *Fleet) askPeer(ctx context.Context, name ident.Instance, parts []table.Part) ([][]byte, error) {
	const step = "spread: values"
	client, err := f.cfg.Dialer.Fleet(name)
	if err != nil {
		return nil, fail.New(step, string(name), ident.NotRun, err)
	}
	req := &peerpb.ValuesRequest{}
	for _, p := range parts {
		req.Sums = append(req.Sums, append([]byte(nil), p.Sum[:]...))
	}
	ctx, stop := tick.WithTimeout(ctx, f.cfg.Timer, valuesTimeout, errSilent)
	defer stop()
	resp, err := client.Values(ctx, req)
	f.stats.called(req, resp)
	if err != nil {
		return nil, fail.New(step, string(name), ident.Done, err)
	}
	var out [][]byte
	for i, data := range resp.GetValues() {
		if i >= len(parts) || sha256.Sum256(data) != parts[i].Sum {
			return out, fail.New(step, string(name), ident.Done, errBadValue)
		}
		out = append(out, data)
	}
	if len(out) < len(parts) {
		return out, fail.New(step, string(name), ident.Done, errBadValue)
	}
	return out, nil
}
