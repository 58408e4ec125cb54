package spread

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Stats counts what a Fleet did since its start. Bytes are those of messages
// without headers of the transport.
type Stats struct {
	Calls         int64 // to other instances
	Failed        int64
	Served        int64 // from other instances
	Sent          int64 // bytes to other instances
	Received      int64 // bytes from other instances
	Reads         int64 // calls to the platform
	ReadBytes     int64
	PlatformAgeMs int64 // -1 if the platform was never read
}

type stats struct {
	calls, failures, serves, sent, received, reads, readBytes atomic.Int64
}

// Stats returns the counters.
func (f *Fleet) Stats() Stats {
	s := &f.stats
	return Stats{
		Calls: s.calls.Load(), Failed: s.failures.Load(), Served: s.serves.Load(),
		Sent: s.sent.Load(), Received: s.received.Load(),
		Reads: s.reads.Load(), ReadBytes: s.readBytes.Load(),
		PlatformAgeMs: f.platformAge(),
	}
}

// called counts a call to another instance. Resp is nil after an error.
func (s *stats) called(req, resp proto.Message) {
	s.calls.Add(1)
	s.sent.Add(int64(proto.Size(req)))
	s.received.Add(int64(proto.Size(resp)))
}

func (s *stats) served(req, resp proto.Message) {
	s.serves.Add(1)
	s.received.Add(int64(proto.Size(req)))
	s.sent.Add(int64(proto.Size(resp)))
}

func (s *stats) failed() { s.failures.Add(1) }

func (s *stats) read(bytes int) {
	s.reads.Add(1)
	s.readBytes.Add(int64(bytes))
}
