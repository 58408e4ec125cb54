package flow

import (
	"context"
	"encoding/binary"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// maxParts bounds the blocks of a prompt that are held responsible for crashes. The first ones are taken, because
// a block's hash depends on all blocks before it.
const maxParts = 64

// promptParts returns the blocks of the prompt that other requests may share, that is all but the last one.
func promptParts(req Request) []crash.Part {
	n := min(len(req.BlockHashes)-1, maxParts)
	if n <= 0 {
		return nil
	}
	parts := make([]crash.Part, n)
	for i, h := range req.BlockHashes[:n] {
		b := binary.BigEndian.AppendUint64([]byte(req.Model), h)
		parts[i] = crash.Part(xxhash.Sum64(b))
	}
	return parts
}

// admit waits until the request may be sent to an engine as far as the blocks of its prompt are concerned.
func (n *run) admit(ctx context.Context) *attemptError {
	if n.cfg.Crashes == nil || len(n.parts) == 0 {
		return nil
	}
	var err error
	n.grant, err = n.cfg.Crashes.Admit(ctx, crash.Claim{ID: xxhash.Sum64String(string(n.req.ID)), Parts: n.parts})
	var refused *crash.RefusedError
	if !errors.As(err, &refused) {
		return nil
	}
	r := fail.Refuse(fail.CodePromptBlocked, max(refused.Wait, retryAfter), refused.Error())
	return &attemptError{step: "flow: admit", err: r, permanent: true}
}

// checkParts reports whether the prompt may be sent to an engine now.
func (n *run) checkParts() error {
	if n.cfg.Crashes == nil || len(n.parts) == 0 {
		return nil
	}
	return n.cfg.Crashes.Check(n.grant, n.parts)
}

// recordBegun records that an engine has begun to answer the request.
func (n *run) recordBegun() {
	if n.cfg.Crashes != nil && len(n.parts) > 0 {
		n.cfg.Crashes.Tracker().Begun(n.parts, n.cfg.Crashes.Now())
	}
}

// recordBroken records that an engine broke off before it had begun to answer. If it refuses connections, it
// has ended. It reports whether the request must not be sent to another engine.
func (n *run) recordBroken(s ident.Server, err error) bool {
	if n.cfg.Crashes == nil || len(n.parts) == 0 || !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	now, server := n.cfg.Crashes.Now(), xxhash.Sum64String(string(s))
	names := make([]string, len(n.parts))
	for i, h := range n.req.BlockHashes[:len(names)] {
		names[i] = string(n.req.Model) + "/" + strconv.FormatUint(h, 16)
	}
	t := n.cfg.Crashes.Tracker()
	t.Broke(server, n.parts, names, now)
	t.Confirm(server, now)
	v, _, _ := t.Verdict(n.parts, now)
	return v != crash.Clear
}
