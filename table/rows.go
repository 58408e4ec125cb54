package table

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Centre is a data centre.
type Centre struct {
	Name   ident.Centre
	Region ident.Region
}

// ShareUnit is the sum of the shares of all seats.
const ShareUnit int64 = 1_000_000

// Seat is a place for one process of the router. Its share is in millionths
// of every customer's rate and burst.
type Seat struct {
	Name   ident.Instance
	Centre ident.Centre
	Share  int64
}

// Customer has a weight in queues and a rate and burst over the whole fleet.
type Customer struct {
	Name   ident.Customer
	Weight int64
	Rate   int64 // tokens per second
	Burst  int64 // tokens
}

// Class is a latency class.
type Class struct {
	Name       ident.Class
	FirstToken time.Duration // target
	TokenGap   time.Duration // target
	Queue      time.Duration // longest wait in a queue
	Cross      bool          // may run in another region
	Priority   int           // larger goes first at the engine
}

// Model is a model that callers may name.
type Model struct {
	Name         ident.Model
	DefaultClass ident.Class
	PieceTokens  int64 // tokens in one piece of the prefix cache
	MaxPrompt    int64 // tokens
	MaxOutput    int64 // tokens
	KVBytes      int64 // bytes of KV cache per prompt token
}

// Kind tells engines and plain services apart.
type Kind string

// The kinds of backend servers.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Role is what an engine does.
type Role string

// The roles of engines.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Server is a backend server.
type Server struct {
	Name    ident.Server
	Centre  ident.Centre
	Kind    Kind
	Role    Role        // engines only
	Model   ident.Model // engines only
	Service string      // services only: the set to which it belongs
	Address string      // host:port
	Places  int         // requests that a decode engine holds
	Rate    int64       // tokens per second that a prefill engine computes
	Link    int64       // bytes per second for KV transfers
	Fenced  bool        // refuses orders with an old fencing number
	Orders  bool        // may be given orders
	// TokenGap is the time between two output tokens of a decode engine whose
	// places are all taken.
	TokenGap time.Duration
}

// Route leads a path prefix to a set of plain services.
type Route struct {
	Name       ident.Route
	Prefix     string
	Service    string
	Open       bool
	Idempotent bool
	Timeout    time.Duration
	BodyLimit  int64         // bytes
	KeyAge     time.Duration // how long an idempotency key is remembered
	Home       ident.Centre  // data centre where keyed calls run, empty for a hash
	Status     string        // path under which callers read whether a call took effect
}

// Link is the paid link from one region to another.
type Link struct {
	From  ident.Region
	To    ident.Region
	Rate  int64 // bytes per second
	Burst int64 // bytes
}

// Order is what an engine that takes orders is meant to run.
type Order struct {
	Server  ident.Server
	Model   ident.Model
	Adapter string
	Version string
	Role    Role
}
