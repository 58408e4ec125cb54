package sched

import (
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/pool"
)

// logDecision logs a placement or rejection and counts it. Times are in milliseconds, scores in
// seconds.
func (s *Service) logDecision(d *pool.Decision) {
	e := logs.Decision(s.cfg.Log).
		Str("request", string(d.Request)).
		Str("customer", string(d.Customer)).
		Str("model", string(d.Model)).
		Str("class", string(d.Class)).
		Int64("prompt", d.PromptTokens).
		Int64("output_estimate", d.OutputEstimate).
		Dur("waited_ms", d.Waited).
		Int("queued", d.Queued).
		Int64("backlog", d.Backlog).
		Float64("rate", d.Rate)
	if !d.Placed() {
		s.rejectedTotal.Inc(1)
		e.Str("code", string(d.Code)).Str("reason", d.Reason.String()).Dur("retry_ms", d.RetryAfter).
			Msg("sched: request rejected")
		return
	}
	s.placedTotal.Inc(1)
	withChoice(e, d).Msg("sched: request placed")
}

// withChoice adds the placement and the reasons for its choice to a log event.
func withChoice(e *zerolog.Event, d *pool.Decision) *zerolog.Event {
	c := &d.Choice
	return e.
		Uint64("revision", d.Placement.Revision).
		Str("placement", d.Placement.ID).
		Str("prefill", string(c.Prefill)).
		Str("decode", string(c.Decode)).
		Str("runner_up", string(c.RunnerUp)).
		Str("decode_runner_up", string(c.DecodeRunnerUp)).
		Float64("score", c.Score).
		Float64("runner_up_score", c.RunnerUpScore).
		Float64("decode_score", c.DecodeScore).
		Float64("decode_runner_up_score", c.DecodeRunnerUpScore).
		Int64("cached", c.CachedTokens).
		Dur("prefill_wait_ms", c.PrefillWait).
		Dur("prefill_ms", c.PrefillTime).
		Dur("link_wait_ms", c.LinkWait).
		Dur("transfer_ms", c.TransferTime).
		Dur("first_token_ms", c.TTFT).
		Int("taken", c.BusySlots).
		Int("places", c.Slots)
}
