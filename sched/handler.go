package sched

import (
	"context"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/pool"
)

var _ peerpbconnect.PlaceServiceHandler = (*Handler)(nil)

// Handler serves the schedulers of a Service to other instances.
type Handler struct {
	svc *Service
}

// NewHandler returns the handler of the PlaceService for svc.
func NewHandler(svc *Service) *Handler { return &Handler{svc: svc} }

// Place responds when the request is placed or rejected.
func (h *Handler) Place(ctx context.Context, r *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	p, err := h.svc.Place(ctx, requestOf(r), nodeOf(r.GetAsker()))
	if f, ok := fail.AsRefusal(err); ok {
		return refusalMessage(f), nil
	}
	if err != nil {
		return nil, err
	}
	return placementMessage(&p), nil
}

// Progress applies the progress of the sender's placements. It responds whether the sender must
// send a full report.
func (h *Handler) Progress(_ context.Context, r *peerpb.ProgressRequest) (*peerpb.ProgressResponse, error) {
	byModel := make(map[ident.Model][]pool.Progress)
	if r.GetWhole() {
		for _, m := range h.svc.Models() {
			byModel[m] = nil
		}
	}
	for _, it := range r.GetItems() {
		m := ident.Model(it.GetModel())
		byModel[m] = append(byModel[m], progressOf(it))
	}
	owner := nodeOf(r.GetAsker())
	for m, items := range byModel {
		h.svc.RecordProgress(owner, m, items, r.GetWhole())
	}
	resend := r.GetBeat() && h.svc.NeedsResync(owner, checksumsOf(r.GetBeats()))
	return &peerpb.ProgressResponse{Resend: resend}, nil
}
