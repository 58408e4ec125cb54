package link

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestLacksResources guards against servers that are blamed for connections which this process cannot open.
func TestLacksResources(t *testing.T) {
	tests := []struct {
		errno syscall.Errno
		want  bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.EADDRNOTAVAIL, true},
		{syscall.ENOBUFS, true},
		{syscall.ECONNREFUSED, false},
		{syscall.ECONNRESET, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.ETIMEDOUT, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", tt.errno)}
		is.Equal(lacksResources(err), tt.want) // errno
	}
}
