package flow

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// progressEvery is the number of tokens between reports of progress.
const progressEvery = 32

// transfer moves the KV cache into the place. While the cache lives, a
// transfer that stalls or breaks is begun again.
func (n *run) transfer(ctx context.Context, p place.Placement, st seat) *setback {
	n.cfg.Placer.ReportProgress(p, place.StageTransfer, n.sent)
	in := ImportRequest{Attempt: st.attempt, Slot: st.ID, KV: n.kv.Name, Source: n.kv.server, StallTimeout: n.stall()}
	var err error
	for range n.cfg.MaxTransfers {
		n.res.Transfers++
		if err = n.cfg.Engines.Import(ctx, p.Decode, in); err == nil {
			n.release(n.kv.hold)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, ErrUnknownAttempt) || errors.Is(err, ErrKVGone) {
			break
		}
		if n.cfg.Timer.Now() >= n.kv.until {
			break
		}
	}
	blamed := n.blame(p, err)
	return &setback{step: "flow: transfer", server: blamed, err: err}
}

// blame avoids the engine to which the failure of a transfer is put down, and
// drops the KV cache if it is of no more use. A transfer that fails without a
// word may be stuck at either end: the cache is tried at another decode engine
// first, and if it fails there too or its life is over, at another prefill
// engine.
func (n *run) blame(p place.Placement, err error) ident.Server {
	switch {
	case errors.Is(err, ErrKVGone):
		n.dropKV()
		return p.Decode
	case errors.Is(err, ErrUnknownAttempt):
	case errors.Is(err, ErrExportUnreadable), n.kv.moved, n.cfg.Timer.Now() >= n.kv.until:
		source := n.kv.server
		n.avoid = append(n.avoid, source)
		n.dropKV()
		return source
	}
	n.kv.moved = true
	n.avoid = append(n.avoid, p.Decode)
	return p.Decode
}

// relay gives the output to the sink. The stream is opened again, at the
// offset where it broke, as long as the engine knows the attempt.
func (n *run) relay(ctx context.Context, p place.Placement, st seat) *setback {
	n.cfg.Placer.ReportProgress(p, place.StageDecode, n.sent)
	r := &reader{run: n, p: p, st: st, sum: xxhash.New()}
	if n.sent > 0 {
		n.res.Restarts++
	}
	for opened := 1; ; opened++ {
		before := r.offset
		err := r.read(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || isFinal(err) {
			return &setback{step: "flow: stream", server: p.Decode, err: err, final: true}
		}
		if r.offset > before {
			opened = 1
		}
		if errors.Is(err, ErrUnknownAttempt) || opened > n.cfg.MaxResumes {
			return n.lost(p, st, err)
		}
		n.res.Resumes++
		if tick.Sleep(ctx, n.cfg.Timer, n.cfg.Backoff*tick.Instant(opened)) != nil {
			return &setback{step: "flow: stream", server: p.Decode, err: context.Cause(ctx), final: true}
		}
	}
}

// lost decides what follows when the engine no longer has the output.
func (n *run) lost(p place.Placement, st seat, err error) *setback {
	n.avoid = append(n.avoid, p.Decode)
	if !n.kv.used {
		n.dropKV()
	} else {
		n.kv = nil
	}
	back := &setback{step: "flow: stream", server: p.Decode, err: err}
	if n.sent > 0 && (!n.req.Exact || st.Build == "") {
		back.final = true
		back.err = errors.Wrap(ErrTruncated, err.Error())
	}
	return back
}

// isFinal reports whether no further reading can help.
func isFinal(err error) bool {
	return errors.Is(err, ErrCallerGone) || errors.Is(err, ErrTotalMismatch) || errors.Is(err, ErrOutputMismatch)
}

// reader follows the output of one attempt.
type reader struct {
	*run
	p      place.Placement
	st     seat
	offset int64          // of the next token of this attempt
	sum    *xxhash.Digest // over the tokens that were sent by an earlier attempt
}

// read opens the stream at the offset and reads to the end of the output.
func (r *reader) read(ctx context.Context) error {
	s, err := r.cfg.Engines.Stream(ctx, r.p.Decode, r.st.attempt, r.offset)
	if err != nil {
		return err
	}
	defer s.Close()
	r.cfg.Holds.SetStreaming(r.p.Decode, r.st.attempt, true)
	defer r.cfg.Holds.SetStreaming(r.p.Decode, r.st.attempt, false)
	for {
		ev, err := s.Next()
		if err != nil {
			return err
		}
		if !r.belongs(ev) {
			continue
		}
		if ev.End {
			return r.end(ev)
		}
		if ev.Offset > r.offset {
			return ErrMissingTokens
		}
		if err := r.token(ev); err != nil {
			return err
		}
	}
}

// belongs reports whether the event is of the live attempt and not doubled,
// and counts it otherwise.
func (r *reader) belongs(ev Event) bool {
	switch {
	case ev.Attempt == r.st.attempt && (ev.End || ev.Offset >= r.offset):
		return true
	case ev.Attempt == r.st.attempt:
		r.res.Dropped.Duplicate++
	case r.past[ev.Attempt]:
		r.res.Dropped.Stale++
	default:
		r.res.Dropped.Foreign++
	}
	return false
}

// end checks the end of the output against what was read.
func (r *reader) end(ev Event) error {
	if ev.Total > r.offset {
		return ErrMissingTokens
	}
	if ev.Total < r.offset || r.offset < r.sent {
		return errors.Wrapf(ErrTotalMismatch, "total %d after %d tokens", ev.Total, max(r.offset, r.sent))
	}
	r.res.Reason = ev.Reason
	return nil
}

// token takes the token that comes next. One that an earlier attempt has sent
// is compared instead of sent.
func (r *reader) token(ev Event) error {
	if r.offset < r.sent {
		addToken(r.sum, ev.Text)
		r.offset++
		if r.offset == r.sent && r.sum.Sum64() != r.run.sum.Sum64() {
			return errors.Wrapf(ErrOutputMismatch, "within %d tokens", r.sent)
		}
		return nil
	}
	if err := r.sink.Token(ev.Offset, ev.Text); err != nil {
		return errors.Wrap(ErrCallerGone, err.Error())
	}
	r.note(ev)
	r.offset++
	return nil
}

// note records a token that was sent.
func (r *reader) note(ev Event) {
	now := r.cfg.Timer.Now()
	if r.sent == 0 {
		r.res.FirstToken = now - r.req.Arrived
	} else {
		gap := now - r.lastSent
		r.res.Gaps++
		r.res.MaxGap = max(r.res.MaxGap, gap)
		if r.req.GapTarget > 0 && gap > r.req.GapTarget {
			r.res.LateGaps++
		}
	}
	r.lastSent = now
	r.sent++
	r.res.OutputTokens = r.sent
	r.build = r.st.Build
	r.kv.used = true
	addToken(r.run.sum, ev.Text)
	if r.sent%progressEvery == 0 {
		r.cfg.Placer.ReportProgress(r.p, place.StageDecode, r.sent)
	}
}

// addToken adds a token and its boundary to a checksum.
func addToken(d *xxhash.Digest, text string) {
	_, _ = d.WriteString(text)
	_, _ = d.Write([]byte{0})
}
