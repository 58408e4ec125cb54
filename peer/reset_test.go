package peer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
)

const (
	preface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHead    = 9
	typeHeaders  = 1
	typeReset    = 3
	typeSettings = 4
	flagEnd      = 1
)

// frame encodes an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{0, 0, byte(len(payload)), kind, flags}
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// resetEach resets every call with a code once it has been read to its end, and counts the calls.
func resetEach(conn net.Conn, code uint32, calls *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	if _, err := io.CopyN(io.Discard, r, int64(len(preface))); err != nil {
		return
	}
	_, _ = conn.Write(frame(typeSettings, 0, 0, nil))
	for {
		head := make([]byte, frameHead)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		n := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		if _, err := io.CopyN(io.Discard, r, n); err != nil {
			return
		}
		kind, flags, stream := head[3], head[4], binary.BigEndian.Uint32(head[5:])
		if kind == typeHeaders {
			calls.Add(1)
		}
		if stream != 0 && flags&flagEnd != 0 {
			_, _ = conn.Write(frame(typeReset, 0, stream, binary.BigEndian.AppendUint32(nil, code)))
		}
	}
}

// TestResetCallIsSentOnce guards against the transport sending a call again that the peer has read and reset.
func TestResetCallIsSentOnce(t *testing.T) {
	full, empty := &peerpb.RunRequest{Key: "k"}, &peerpb.RunRequest{}
	tests := []struct {
		name string
		code uint32
		call *peerpb.RunRequest
	}{
		{"protocol error", 1, full},
		{"protocol error, empty call", 1, empty},
		{"internal error", 2, full},
		{"stream closed", 5, full},
		{"cancel", 8, full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			var calls atomic.Int64
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go resetEach(conn, tt.code, &calls)
				}
			}()
			pool := peer.NewPool(peer.Config{Address: func(ident.Instance) (string, bool) { return ln.Addr().String(), true }})
			defer pool.Close()
			c, err := pool.Once("b")
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = c.Run(ctx, tt.call)
			is.True(err != nil)
			is.True(!peer.Undialled(err))
			is.Equal(calls.Load(), int64(1))
		})
	}
}
