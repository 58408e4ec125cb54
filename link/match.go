package link

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"
)

// belongs reports whether a response belongs to the request that was written last. A server may
// send the response to an earlier request of the connection once more.
func (res *Response) belongs(req *Request, resp *http.Response) (bool, error) {
	res.c.find(res.conn, req, resp)
	if JoinedHeader(resp) {
		return false, ErrJoinedHeader
	}
	id := resp.Header.Get(res.c.cfg.IDHeader)
	success := resp.StatusCode < http.StatusBadRequest
	res.proven = req.ID != "" || req.Distinct || res.conn.uses == 1
	res.tellsNext = id != "" || req.Distinct && success
	switch {
	case id != req.ID && id != "":
		return false, nil
	case req.Distinct && success:
		isNew, err := res.isNew(resp)
		return isNew || id != "", err
	case id != "":
		return true, nil
	case req.ID == "" || res.conn.uses == 1 && !success:
		return true, nil
	case success:
		return false, nil
	default:
		return false, ErrMissingID
	}
}

// statusLine matches the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9](\s|$)`)

// JoinedHeader reports whether the header of a response contains a status line. The server has then
// sent a part of the header of another response before it, and its status or fields may be of either.
func JoinedHeader(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, vs := range resp.Header {
		if slices.ContainsFunc(vs, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// isNew reports whether no response with the same body was received on the connection before. It
// reads the body, up to maxSkippedBytes.
func (res *Response) isNew(resp *http.Response) (bool, error) {
	b, err := res.account.ReadAll(resp.Body, min(resp.ContentLength, maxSkippedBytes), maxSkippedBytes)
	if err != nil {
		return false, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return res.conn.received(b), nil
}
