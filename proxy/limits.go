package proxy

import "net/http"

const (
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
