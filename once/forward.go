package once

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

// forward sends the call to its home. If the reply is lost, the outcome is
// unknown; if the dial fails, the call has not run.
func (s *Service) forward(ctx context.Context, arrived tick.Instant, home ident.Instance, r Route, c Call, revision uint64) (
	plain.Answer, error,
) {
	const step = "once: forward"
	peer, err := s.cfg.Dialer.Once(home)
	if err != nil {
		return plain.Answer{}, away(home, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.whole())
	defer cancel()
	req := callToProto(s.node(), c, revision)
	if t, ok := ctx.Deadline(); ok {
		req.DeadlineMs = max(1, time.Until(t).Milliseconds())
	}
	if s.cfg.Clock.Now()-arrived > maxWait {
		return plain.Answer{}, late()
	}
	res, err := peer.Run(ctx, req)
	switch {
	case err == nil:
		return runResult(home, res)
	case dialFailed(err):
		return plain.Answer{}, away(home, err)
	}
	return plain.Answer{}, fail.New(step, string(home), ident.Unknown, errors.Wrap(
		fail.Refuse(fail.CodeKeyUnknown, retryHome, "the answer of the call's home was lost; "+advice(r)), err.Error()))
}

// away returns the error for a home that cannot be reached.
func away(home ident.Instance, err error) error {
	return fail.New("once: forward", string(home), ident.NotRun, errors.Wrap(
		fail.Refuse(fail.CodeHomeUnreachable, retryHome, "the call's home can't be reached"), err.Error()))
}

// dialFailed reports whether err means that no connection was established, so
// that nothing of the call was written.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// runResult converts the reply of a call's home.
func runResult(home ident.Instance, res *peerpb.RunResponse) (plain.Answer, error) {
	if res.GetCode() == "" && res.GetOutcome() == peerpb.Outcome_OUTCOME_DONE {
		return plain.Answer{
			Status:   int(res.GetStatus()),
			Header:   headerFromProto(res.GetHeaders()),
			Body:     res.GetBody(),
			Replayed: res.GetReplayed(),
		}, nil
	}
	code := fail.Code(res.GetCode())
	if code == "" {
		code = fail.CodeInternal
	}
	refusal := fail.Refuse(code, retryFromProto(res.GetRetryMs()), res.GetReason())
	return plain.Answer{}, fail.New("once: forward", string(home), outcomeFromProto(res.GetOutcome()), refusal)
}
