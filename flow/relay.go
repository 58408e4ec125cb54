package flow

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// begunTokens is the number of tokens of an attempt after which its engine has begun to answer.
const begunTokens = 2

// progressTokens is the number of tokens between progress reports.
const progressTokens = 32

// transfer imports the KV cache into the reserved slot. A transfer that stalls or breaks is
// restarted until the cache expires.
func (n *run) transfer(ctx context.Context, p place.Placement, st reservedSlot) *attemptError {
	n.cfg.Placer.ReportProgress(p, place.StageTransfer, n.sent)
	in := ImportRequest{Attempt: st.attempt, Slot: st.ID, KV: n.kv.Name, Source: n.kv.server, StallTimeout: n.stallTimeout()}
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
		if n.cfg.Timer.Now() >= n.kv.expires {
			break
		}
	}
	server := n.attributeFailure(p, err)
	return &attemptError{step: "flow: transfer", server: server, err: err}
}

// attributeFailure returns the engine to which a failed transfer is attributed. It excludes
// that engine from further attempts, unless the cache no longer exists, and releases the KV cache
// if it is no longer usable. If a transfer fails without a stated reason, either
// engine may be at fault. In that case the cache is first imported by another decode engine. If that fails too, or the
// cache has expired, another prefill engine is used.
func (n *run) attributeFailure(p place.Placement, err error) ident.Server {
	switch {
	case errors.Is(err, ErrKVGone):
		n.releaseKV()
		return p.Decode
	case errors.Is(err, ErrUnknownAttempt):
	case errors.Is(err, ErrExportUnreadable), n.kv.importFailed, n.cfg.Timer.Now() >= n.kv.expires:
		source := n.kv.server
		n.avoid = append(n.avoid, source)
		n.releaseKV()
		return source
	}
	n.kv.importFailed = true
	n.avoid = append(n.avoid, p.Decode)
	return p.Decode
}

// streamOutput sends the output to the sink. If the stream breaks, it is reopened at the offset of
// the next token, as long as the engine has state for the attempt. It gives up after MaxResumes
// consecutive reopenings without a token.
func (n *run) streamOutput(ctx context.Context, p place.Placement, st reservedSlot) *attemptError {
	if err := n.checkParts(); err != nil {
		return &attemptError{step: "flow: stream", err: err, skipsBudget: true}
	}
	n.cfg.Placer.ReportProgress(p, place.StageDecode, n.sent)
	r := &outputReader{run: n, p: p, st: st, sum: xxhash.New()}
	if n.sent > 0 {
		n.res.Restarts++
	}
	for opens := 1; ; opens++ {
		before := r.offset
		err := r.read(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || isPermanent(err) {
			return &attemptError{step: "flow: stream", server: p.Decode, err: err, permanent: true}
		}
		if r.offset > before {
			opens = 1
		}
		if errors.Is(err, ErrUnknownAttempt) || opens > n.cfg.MaxResumes {
			return n.outputLost(p, st, err)
		}
		if r.offset < begunTokens && n.recordBroken(p.Decode, err) {
			aerr := n.outputLost(p, st, err)
			aerr.permanent = true
			return aerr
		}
		n.res.Resumes++
		if tick.Sleep(ctx, n.cfg.Timer, n.cfg.Backoff*tick.Instant(opens)) != nil {
			return &attemptError{step: "flow: stream", server: p.Decode, err: context.Cause(ctx), permanent: true}
		}
	}
}

// outputLost returns the error for an engine that no longer has the output. The error is permanent
// if tokens were sent and the output is not reproducible.
func (n *run) outputLost(p place.Placement, st reservedSlot, err error) *attemptError {
	n.avoid = append(n.avoid, p.Decode)
	if !n.kv.used {
		n.releaseKV()
	} else {
		n.kv = nil
	}
	aerr := &attemptError{step: "flow: stream", server: p.Decode, err: err}
	if n.sent > 0 && (!n.req.Exact || st.Build == "") {
		aerr.permanent = true
		aerr.err = errors.Wrap(ErrTruncated, err.Error())
	}
	return aerr
}

// isPermanent reports whether reopening the stream cannot help.
func isPermanent(err error) bool {
	return errors.Is(err, ErrCallerGone) || errors.Is(err, ErrTotalMismatch) || errors.Is(err, ErrOutputMismatch)
}

// outputReader reads the output of one attempt.
type outputReader struct {
	*run
	p      place.Placement
	st     reservedSlot
	offset int64          // offset of the next token of this attempt
	sum    *xxhash.Digest // checksum of the tokens of this attempt that an earlier attempt already sent
}

// read opens the stream at the current offset and reads up to the end of the output.
func (r *outputReader) read(ctx context.Context) error {
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
		if !r.accepts(ev) {
			continue
		}
		if ev.End {
			return r.checkEnd(ev)
		}
		if ev.Offset > r.offset {
			return ErrMissingTokens
		}
		if err := r.handleToken(ev); err != nil {
			return err
		}
	}
}

// accepts reports whether the event belongs to the current attempt and is not a duplicate. It counts
// the events that it rejects.
func (r *outputReader) accepts(ev Event) bool {
	switch {
	case ev.Attempt == r.st.attempt && (ev.End || ev.Offset >= r.offset):
		return true
	case ev.Attempt == r.st.attempt:
		r.res.Dropped.Duplicate++
	case r.releasedAttempts[ev.Attempt]:
		r.res.Dropped.Stale++
	default:
		r.res.Dropped.Foreign++
	}
	return false
}

// checkEnd compares the end event with the number of tokens read.
func (r *outputReader) checkEnd(ev Event) error {
	if ev.Total > r.offset {
		return ErrMissingTokens
	}
	if ev.Total < r.offset || r.offset < r.sent {
		return errors.Wrapf(ErrTotalMismatch, "total is %d, received %d tokens", ev.Total, max(r.offset, r.sent))
	}
	r.res.Reason = ev.Reason
	if r.offset < begunTokens {
		r.recordBegun()
	}
	return nil
}

// handleToken processes the next token. A token that an earlier attempt already sent is compared
// with that output and not sent again.
func (r *outputReader) handleToken(ev Event) error {
	if r.offset < r.sent {
		hashToken(r.sum, ev.Text)
		r.offset++
		if r.offset == r.sent && r.sum.Sum64() != r.run.sum.Sum64() {
			return errors.Wrapf(ErrOutputMismatch, "in the first %d tokens", r.sent)
		}
		return nil
	}
	if err := r.sink.Token(ev.Offset, ev.Text); err != nil {
		return errors.Wrap(ErrCallerGone, err.Error())
	}
	r.recordToken(ev)
	if r.offset++; r.offset == begunTokens {
		r.recordBegun()
	}
	return nil
}

// recordToken updates the result and the state of the request after a token was sent.
func (r *outputReader) recordToken(ev Event) {
	now := r.cfg.Timer.Now()
	if r.sent == 0 {
		r.res.FirstToken = now - r.req.Arrived
	} else {
		gap := now - r.lastSentAt
		r.res.Gaps++
		r.res.MaxGap = max(r.res.MaxGap, gap)
		if r.req.GapTarget > 0 && gap > r.req.GapTarget {
			r.res.LateGaps++
		}
	}
	r.lastSentAt = now
	r.sent++
	r.res.OutputTokens = r.sent
	r.sentBuild = r.st.Build
	r.kv.used = true
	hashToken(r.run.sum, ev.Text)
	if r.sent%progressTokens == 0 {
		r.cfg.Placer.ReportProgress(r.p, place.StageDecode, r.sent)
	}
}

// hashToken adds a token and a separator to the checksum.
func hashToken(d *xxhash.Digest, text string) {
	_, _ = d.WriteString(text)
	_, _ = d.Write([]byte{0})
}
