package link

import (
	"net/http"
	"time"
)

// Finding is something on a connection that a server has sent and that is not the response to the
// request that was written last, or that cannot be told from one.
type Finding struct {
	Kind   FindingKind
	Addr   string        // address of the server
	Sent   string        // ID that the request was sent with, empty for none
	Got    string        // ID in the response, empty for none
	Status int           // status of the response, 0 for FindingUnread
	Use    int           // number of requests written to the connection, the last one included
	Idle   time.Duration // for FindingUnread: how long the connection was idle
}

// FindingKind is the kind of a Finding. Logs and metrics contain it.
type FindingKind string

// The kinds of findings.
const (
	// FindingOtherID is a response with the ID of another request.
	FindingOtherID FindingKind = "other_id"
	// FindingNoID is a response without an ID to a request that was sent with one.
	FindingNoID FindingKind = "no_id"
	// FindingNoProof is a response on a reused connection to a request without an ID.
	FindingNoProof FindingKind = "no_proof"
	// FindingUnread is a connection that was idle and has received something.
	FindingUnread FindingKind = "unread"
)

// find reports what the ID of a response on a connection tells.
func (c *Client) find(cn *conn, req *Request, resp *http.Response) {
	sent, got := req.ID, resp.Header.Get(c.cfg.IDHeader)
	f := Finding{Addr: req.Addr, Sent: sent, Got: got, Status: resp.StatusCode, Use: cn.uses}
	switch {
	case sent == "" && got == "":
		if cn.uses == 1 {
			return
		}
		f.Kind = FindingNoProof
	case got == "":
		f.Kind = FindingNoID
	case got != sent:
		f.Kind = FindingOtherID
	default:
		return
	}
	c.observe(f)
}

// observe passes a finding to the observer.
func (c *Client) observe(f Finding) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(f)
	}
}
