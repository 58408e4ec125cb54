package sched

import (
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

func nodeOf(n *peerpb.Node) ident.Node {
	return ident.Node{Instance: ident.Instance(n.GetInstance()), Incarnation: n.GetIncarnation()}
}

func nodeMessage(n ident.Node) *peerpb.Node {
	return &peerpb.Node{Instance: string(n.Instance), Incarnation: n.Incarnation}
}

func requestOf(r *peerpb.PlaceRequest) *place.Request {
	req := &place.Request{
		RequestID:       ident.Request(r.GetRequest()),
		Customer:        ident.Customer(r.GetCustomer()),
		Model:           ident.Model(r.GetModel()),
		Class:           ident.Class(r.GetClass()),
		PromptTokens:    r.GetPromptTokens(),
		MaxOutputTokens: r.GetMaxOutputTokens(),
		BlockHashes:     r.GetPrefix(),
		Waited:          time.Duration(r.GetWaitedMs()) * time.Millisecond,
		Resumed:         r.GetResumed(),
		KVSource:        ident.Server(r.GetHeld()),
	}
	for _, s := range r.GetAvoid() {
		req.Avoid = append(req.Avoid, ident.Server(s))
	}
	return req
}

func requestMessage(req *place.Request, asker ident.Node) *peerpb.PlaceRequest {
	r := &peerpb.PlaceRequest{
		Asker:           nodeMessage(asker),
		Request:         string(req.RequestID),
		Customer:        string(req.Customer),
		Model:           string(req.Model),
		Class:           string(req.Class),
		PromptTokens:    req.PromptTokens,
		MaxOutputTokens: req.MaxOutputTokens,
		Prefix:          req.BlockHashes,
		WaitedMs:        req.Waited.Milliseconds(),
		Resumed:         req.Resumed,
		Held:            string(req.KVSource),
	}
	for _, s := range req.Avoid {
		r.Avoid = append(r.Avoid, string(s))
	}
	return r
}

func placementMessage(p *place.Placement) *peerpb.PlaceResponse {
	return &peerpb.PlaceResponse{
		Placement:     p.ID,
		Prefill:       string(p.Prefill),
		Decode:        string(p.Decode),
		TransferMs:    p.TransferTime.Milliseconds(),
		CachedTokens:  p.CachedTokens,
		RunnerUp:      string(p.RunnerUp),
		Score:         p.Score,
		RunnerUpScore: p.RunnerUpScore,
		Revision:      p.Revision,
		Held:          p.ReusesKV,
	}
}

func placementOf(r *peerpb.PlaceResponse, scheduler ident.Instance) place.Placement {
	return place.Placement{
		ID:            r.GetPlacement(),
		Scheduler:     scheduler,
		Prefill:       ident.Server(r.GetPrefill()),
		Decode:        ident.Server(r.GetDecode()),
		TransferTime:  time.Duration(r.GetTransferMs()) * time.Millisecond,
		CachedTokens:  r.GetCachedTokens(),
		RunnerUp:      ident.Server(r.GetRunnerUp()),
		Score:         r.GetScore(),
		RunnerUpScore: r.GetRunnerUpScore(),
		Revision:      r.GetRevision(),
		ReusesKV:      r.GetHeld(),
	}
}

func refusalMessage(f *fail.Refusal) *peerpb.PlaceResponse {
	m := &peerpb.PlaceResponse{Refusal: f.Reason(), Code: string(f.Code()), RetryMs: -1}
	if f.RetryAfter() != fail.NoRetry {
		m.RetryMs = int64((f.RetryAfter() + time.Millisecond - 1) / time.Millisecond)
	}
	return m
}

func refusalOf(r *peerpb.PlaceResponse) *fail.Refusal {
	retry := fail.NoRetry
	if r.GetRetryMs() >= 0 {
		retry = time.Duration(r.GetRetryMs()) * time.Millisecond
	}
	code := fail.Code(r.GetCode())
	if code == "" {
		code = fail.CodeOverloaded
	}
	return fail.Refuse(code, retry, r.GetRefusal())
}

// stageMessages maps stages to their wire values. StagePlaced has none.
var stageMessages = [...]peerpb.Stage{
	place.StagePlaced:         peerpb.Stage_STAGE_UNSPECIFIED,
	place.StagePrefill:        peerpb.Stage_STAGE_PREFILL,
	place.StageTransfer:       peerpb.Stage_STAGE_TRANSFER,
	place.StageDecode:         peerpb.Stage_STAGE_DECODE,
	place.StageDone:           peerpb.Stage_STAGE_DONE,
	place.StageFailedPrefill:  peerpb.Stage_STAGE_FAILED_PREFILL,
	place.StageFailedTransfer: peerpb.Stage_STAGE_FAILED_TRANSFER,
	place.StageFailedDecode:   peerpb.Stage_STAGE_FAILED_DECODE,
}

// stageOf returns the stage of a wire value, or StagePlaced for a value that this version does not
// have.
func stageOf(m peerpb.Stage) place.Stage {
	for s, o := range stageMessages {
		if o == m {
			return place.Stage(s)
		}
	}
	return place.StagePlaced
}

func progressOf(m *peerpb.Progress) pool.Progress {
	return pool.Progress{
		ID:           m.GetPlacement(),
		Stage:        stageOf(m.GetStage()),
		OutputTokens: m.GetOutputTokens(),
		Prefill:      ident.Server(m.GetPrefill()),
		Decode:       ident.Server(m.GetDecode()),
		Customer:     ident.Customer(m.GetCustomer()),
		PromptTokens: m.GetPromptTokens(),
	}
}

func progressMessage(p *pool.Progress, m ident.Model) *peerpb.Progress {
	return &peerpb.Progress{
		Placement:    p.ID,
		Stage:        stageMessages[p.Stage],
		OutputTokens: p.OutputTokens,
		Prefill:      string(p.Prefill),
		Decode:       string(p.Decode),
		Customer:     string(p.Customer),
		Model:        string(m),
		PromptTokens: p.PromptTokens,
	}
}

func checksumsOf(set []*peerpb.Beat) map[ident.Model]pool.Checksum {
	out := make(map[ident.Model]pool.Checksum, len(set))
	for _, b := range set {
		out[ident.Model(b.GetModel())] = pool.Checksum{Count: b.GetCount(), XOR: b.GetSum()}
	}
	return out
}

func checksumMessages(sums map[ident.Model]pool.Checksum) []*peerpb.Beat {
	out := make([]*peerpb.Beat, 0, len(sums))
	for m, s := range sums {
		out = append(out, &peerpb.Beat{Model: string(m), Count: s.Count, Sum: s.XOR})
	}
	return out
}
