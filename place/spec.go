package place

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Role is the set of stages that a backend server runs.
type Role uint8

// The roles of backend servers.
const (
	RolePrefill Role = 1 << iota
	RoleDecode
	RoleBoth = RolePrefill | RoleDecode
)

// Server is the configuration of one backend server.
type Server struct {
	Name          ident.Server
	Role          Role
	Slots         int           // requests that a decode server runs at once
	PrefillRate   float64       // prompt tokens per second
	TokenInterval time.Duration // time between two output tokens when all slots are busy
	LinkBandwidth float64       // bytes per second, in each direction
}

// Spec is the configuration of the pool of one model in one data centre.
type Spec struct {
	Centre   ident.Centre
	Model    ident.Model
	Revision uint64
	KVBytes  int64 // bytes of KV cache per prompt token
	Servers  []Server
}

// LoadReport is the load of a backend server as it was some time ago. Seq increases with each
// report of the server.
type LoadReport struct {
	Server        ident.Server
	Seq           uint64
	QueuedTokens  int64         // prompt tokens queued or running
	BusySlots     int           // decode slots in use
	TokenInterval time.Duration // measured time between two output tokens, zero if unknown
	Age           time.Duration // time since the state that the report describes
	Draining      bool
}

// CacheEvent is a change of a backend server's prefix cache. Seq increases by one with each event
// of the server. Added and Evicted are block hashes.
type CacheEvent struct {
	Server  ident.Server
	Seq     uint64
	Added   []uint64
	Evicted []uint64
}
