package place

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Role is the part of a request that a backend server runs.
type Role uint8

// The roles of backend servers.
const (
	RolePrefill Role = 1 << iota
	RoleDecode
	RoleBoth = RolePrefill | RoleDecode
)

// Server is what the table says of one backend server.
type Server struct {
	Name          ident.Server
	Role          Role
	Slots         int           // requests that a decode server runs at once
	PrefillRate   float64       // prompt tokens per second
	TokenInterval time.Duration // between two output tokens with all places taken
	LinkBandwidth float64       // bytes per second, each way
}

// Spec is what the table says of the pool of one model in one data centre.
type Spec struct {
	Centre   ident.Centre
	Model    ident.Model
	Revision uint64
	KVBytes  int64 // bytes of KV cache per prompt token
	Servers  []Server
}

// LoadReport is a lagging account of a backend server's load.
type LoadReport struct {
	Server        ident.Server
	Seq           uint64
	QueuedTokens  int64 // prompt tokens queued or running
	BusySlots     int   // decode places taken
	TokenInterval time.Duration
	Age           time.Duration // since the state that it describes
	Draining      bool
}

// CacheEvent are changes of a backend server's prefix cache. Seq counts the
// events of the server one by one.
type CacheEvent struct {
	Server  ident.Server
	Seq     uint64
	Added   []uint64
	Evicted []uint64
}
