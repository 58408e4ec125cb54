package spread

import (
	"context"
	"crypto/sha256"

	"wasabidock.dev/dock/peerpb"
)

// Values answers with values of the version in force, each in the place of its
// sum. It stops before the first one that is not here.
func (f *Fleet) Values(_ context.Context, req *peerpb.ValuesRequest) (*peerpb.ValuesResponse, error) {
	resp := &peerpb.ValuesResponse{}
	for i, sum := range req.GetSums() {
		if i == maxValues || len(sum) != sha256.Size {
			break
		}
		data := f.ledger.value([sha256.Size]byte(sum))
		if data == nil {
			break
		}
		resp.Values = append(resp.Values, data)
	}
	f.stats.served(req, resp)
	return resp, nil
}

// Status tells what this instance has in force and whom it knows.
func (f *Fleet) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	now := f.cfg.Timer.Now()
	v, t, since := f.ledger.current()
	resp := &peerpb.StatusResponse{
		Self:          entryToWire(f.cfg.Roster.Self()),
		Revision:      v.Revision,
		PlatformAgeMs: f.platformAge(),
		Nodes:         entriesToWire(f.cfg.Roster.Entries(now)),
	}
	if t != nil {
		resp.InForceMs = (now - since).Milliseconds()
	}
	resp.RefusedRevision, resp.Faults = f.ledger.refusals()
	if f.cfg.Active != nil {
		resp.ActiveRequests = f.cfg.Active()
	}
	return resp, nil
}
