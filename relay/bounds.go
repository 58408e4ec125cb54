package relay

import (
	"net/http"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// plainEnd is the time before the end of the process after which a request
	// of a plain service is not begun. A model request takes modelEnd and
	// tokenEnd for each token that it is expected to make.
	plainEnd = 1500 * time.Millisecond
	modelEnd = 2 * time.Second
	tokenEnd = 6 * time.Millisecond
	// unknownBody is what a body of unknown length is expected to have, in
	// bytes.
	unknownBody = 64 << 10
	// defaultBody bounds bodies until the operator's limit is known, in bytes.
	defaultBody = 1 << 20
)

// tooLate tells whether a request that comes now would be cut by the end of
// the process.
func (j *job) tooLate() bool {
	end := tick.Instant(j.h.end.Load())
	if end == 0 {
		return false
	}
	need := plainEnd
	if j.ask.HasTokenCounts {
		need = modelEnd + time.Duration(j.expect())*tokenEnd
	}
	return j.h.cfg.Clock.Now()+need > end
}

// mostBody returns the bytes that a body may have.
func (j *job) mostBody() int64 {
	if n := j.table.Limits().BodyBytes; n > 0 {
		return int64(n)
	}
	return defaultBody
}

// bodyBytes returns the bytes that the body may take. One of unknown length
// counts as a common one.
func (j *job) bodyBytes() int64 {
	if j.r.ContentLength < 0 {
		return min(unknownBody, j.mostBody())
	}
	return min(j.r.ContentLength, j.mostBody())
}

// headerBytes returns the size of the request's header fields.
func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}
