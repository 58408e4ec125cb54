package link

import (
	"bytes"
	"net/http"
	"strconv"
)

// syncWriteBytes is the size of a body up to which a request is written before its response
// is read. Larger requests are written while the response is read.
const syncWriteBytes = 64 << 10

// write is the write of a request in a goroutine.
type write struct {
	done chan struct{} // closed at the end of the write
	err  error         // result, valid once done is closed
}

// startWrite writes the parts of a request to a connection in a goroutine, which ends when the connection is closed.
func startWrite(cn *conn, parts ...[]byte) *write {
	w := &write{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for _, b := range parts {
			if _, w.err = cn.Write(b); w.err != nil {
				return
			}
		}
	}()
	return w
}

// succeeded reports whether the whole request has been written.
func (w *write) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// encode returns the request in HTTP/1.1 format, without its body if that is over syncWriteBytes, so that large bodies
// are not copied.
func (req *Request) encode() []byte {
	var b bytes.Buffer
	inline := req.Body
	if len(inline) > syncWriteBytes {
		inline = nil
	}
	b.Grow(len(inline) + 1024)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	_ = req.Header.Write(&b) // writing to a bytes.Buffer cannot fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(inline)
	return b.Bytes()
}
