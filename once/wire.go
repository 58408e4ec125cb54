package once

import (
	"net/http"
	"strings"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

func toProto(now tick.Instant, entries []intent.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, 0, len(entries))
	for _, e := range entries {
		p := &peerpb.Entry{
			Id:      e.ID[:],
			Sum:     e.Fingerprint[:],
			AgeMs:   (now - e.FirstSeen).Milliseconds(),
			KeepMs:  e.TTL.Milliseconds(),
			Serial:  e.Serial,
			Dropped: e.Dropped,
		}
		if a := e.Response; a != nil {
			p.Partial = a.Partial
			p.Answer = &peerpb.RunResponse{Status: int32(a.Status), Body: a.Body}
			for _, h := range a.Headers {
				p.Answer.Headers = append(p.Answer.Headers, &peerpb.Header{Name: text(h.Name), Value: text(h.Value)})
			}
		}
		out = append(out, p)
	}
	return out
}

// fromProto converts entries and leaves out malformed ones.
func fromProto(now tick.Instant, entries []*peerpb.Entry) []intent.Entry {
	out := make([]intent.Entry, 0, len(entries))
	for _, p := range entries {
		if len(p.GetId()) != len(intent.ID{}) || len(p.GetSum()) != len(intent.Fingerprint{}) {
			continue
		}
		e := intent.Entry{
			ID:          intent.ID(p.GetId()),
			Fingerprint: intent.Fingerprint(p.GetSum()),
			FirstSeen:   now - time.Duration(p.GetAgeMs())*time.Millisecond,
			TTL:         time.Duration(p.GetKeepMs()) * time.Millisecond,
			Serial:      p.GetSerial(),
			Dropped:     p.GetDropped(),
		}
		if a := p.GetAnswer(); a != nil {
			e.Response = &intent.Response{Status: int(a.GetStatus()), Body: a.GetBody(), Partial: p.GetPartial()}
			for _, h := range a.GetHeaders() {
				e.Response.Headers = append(e.Response.Headers, intent.Header{Name: h.GetName(), Value: h.GetValue()})
			}
		}
		out = append(out, e)
	}
	return out
}

func callToProto(self *peerpb.Node, c Call, revision uint64) *peerpb.RunRequest {
	sum := intent.NewFingerprint(c.Method, c.Path, c.Body)
	return &peerpb.RunRequest{
		Asker:    self,
		Request:  string(c.Request),
		Customer: string(c.Customer),
		Route:    string(c.Route),
		Key:      c.Key,
		Sum:      sum[:],
		Method:   c.Method,
		Path:     c.Path,
		Headers:  headerToProto(plain.StripHeaders(c.Header)),
		Body:     c.Body,
		Revision: revision,
	}
}

func callFromProto(req *peerpb.RunRequest) Call {
	return Call{
		Key: req.GetKey(),
		Call: plain.Call{
			Request:  ident.Request(req.GetRequest()),
			Customer: ident.Customer(req.GetCustomer()),
			Route:    ident.Route(req.GetRoute()),
			Method:   req.GetMethod(),
			Path:     req.GetPath(),
			Header:   headerFromProto(req.GetHeaders()),
			Body:     req.GetBody(),
		},
	}
}

func runResponse(a plain.Answer, err error) *peerpb.RunResponse {
	if err == nil {
		return &peerpb.RunResponse{
			Outcome:  peerpb.Outcome_OUTCOME_DONE,
			Status:   int32(a.Status),
			Headers:  headerToProto(a.Header),
			Body:     a.Body,
			Replayed: a.Replayed,
		}
	}
	res := &peerpb.RunResponse{
		Outcome: outcomeToProto(fail.Outcome(err)),
		Code:    string(fail.CodeBackendFailed),
		Reason:  "the service failed",
	}
	if r, ok := fail.AsRefusal(err); ok {
		res.Code, res.Reason = string(r.Code()), r.Reason()
		res.RetryMs = retryToProto(r.RetryAfter())
	}
	return res
}

func retryToProto(d time.Duration) int64 {
	if d == fail.NoRetry {
		return -1
	}
	return d.Milliseconds()
}

func retryFromProto(ms int64) time.Duration {
	if ms < 0 {
		return fail.NoRetry
	}
	return time.Duration(ms) * time.Millisecond
}

func outcomeToProto(o ident.Outcome) peerpb.Outcome {
	switch o {
	case ident.Done:
		return peerpb.Outcome_OUTCOME_DONE
	case ident.NotRun:
		return peerpb.Outcome_OUTCOME_NOT_RUN
	default:
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
}

func outcomeFromProto(o peerpb.Outcome) ident.Outcome {
	switch o {
	case peerpb.Outcome_OUTCOME_DONE:
		return ident.Done
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return ident.NotRun
	default:
		return ident.Unknown
	}
}

func headerToProto(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: text(name), Value: text(v)})
		}
	}
	return out
}

// text replaces bytes that are not UTF-8, which header values may contain but
// messages may not.
func text(s string) string { return strings.ToValidUTF8(s, "?") }

func headerFromProto(in []*peerpb.Header) http.Header {
	out := make(http.Header, len(in))
	for _, h := range in {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}

func header(in []intent.Header) http.Header {
	out := make(http.Header, len(in))
	for _, h := range in {
		out.Add(h.Name, h.Value)
	}
	return out
}
