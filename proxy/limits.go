package proxy

import "net/http"

const (
	// unknownBodyBytes is the size that is assumed for a body of unknown length.
	unknownBodyBytes = 64 << 10
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
)

// maxBodyBytes returns the largest allowed size of the request body.
func (x *exchange) maxBodyBytes() int64 {
	if n := x.table.Limits().BodyBytes; n > 0 {
		return int64(n)
	}
	return defaultMaxBodyBytes
}

// expectedBodyBytes returns the memory to account for the request body. A body of unknown
// length counts as unknownBodyBytes.
func (x *exchange) expectedBodyBytes() int64 {
	if x.r.ContentLength < 0 {
		return min(unknownBodyBytes, x.maxBodyBytes())
	}
	return min(x.r.ContentLength, x.maxBodyBytes())
}

// headerBytes returns the size of the header fields of a request as written in HTTP/1.1.
func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}
