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
	Name        ident.Server
	Role        Role
	Places      int           // requests that a decode server runs at once
	PrefillRate float64       // prompt tokens per second
	TokenTime   time.Duration // between two output tokens with all places taken
	LinkRate    float64       // bytes per second, each way
}

// Spec is what the table says of the pool of one model in one data centre.
type Spec struct {
	Centre   ident.Centre
	Model    ident.Model
	Revision uint64
	KVBytes  int64 // bytes of KV cache per prompt token
	Servers  []Server
}

// Report is a lagging account of a backend server's load.
type Report struct {
	Server      ident.Server
	Seq         uint64
	QueueTokens int64 // prompt tokens queued or running
	Busy        int   // decode places taken
	TokenTime   time.Duration
	Age         time.Duration // since the state that it describes
	Draining    bool
}

// Events are changes of a backend server's prefix cache. Seq counts the
// events of the server one by one.
type Events struct {
	Server ident.Server
	Seq    uint64
	Add    []uint64
	Drop   []uint64
}
