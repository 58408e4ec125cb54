// Package place decides which backend servers a request runs on.
//
// A Pool holds the state of the backend servers of one model in one data centre, as recorded by one
// scheduler: their roles and rates, their load reports, the placements of the scheduler that no report
// covers yet, and hints on the contents of their prefix caches. Choose picks a prefill server and a
// decode server. Reserve reserves a decode slot and time on the link before the prefill starts.
//
// # Usage
//
//	p := place.NewPool(place.Config{Rand: rand.NewPCG(1, 2)})
//	p.Configure(spec)
//	c, v := p.Choose(&query, now)
//	if v == place.Chosen {
//		r := p.Reserve(&query, &c, now)
//		...
//		p.PrefillDone(&r, now)
//		p.Release(&r, now)
//	}
//
// # Invariants
//
// Choose never returns a server that is draining, that the query avoids or that is ejected. At most
// half of the servers of a role are ejected at once. Load reports are applied in the order of their
// sequence numbers. The prefix cache hints of a server are cleared at a gap in its cache events, and
// their memory is bounded.
//
// # Concurrency
//
// A Pool is not safe for concurrent use. It reads no clock and takes its random numbers from
// Config.Rand.
package place

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Request asks a scheduler for a prefill server and a decode server.
type Request struct {
	RequestID       ident.Request
	Customer        ident.Customer
	Model           ident.Model
	Class           ident.Class
	PromptTokens    int64
	MaxOutputTokens int64
	BlockHashes     []uint64       // chained hashes of the whole blocks of the prompt
	Waited          time.Duration  // time since the request arrived at the entry instance
	Avoid           []ident.Server // servers that failed this request
	Resumed         bool           // the request has been prefilled before
	// KVSource is the prefill server that still holds the KV cache, empty if there is none. The
	// placement states whether the cache is transferred or the prompt is prefilled again.
	KVSource ident.Server
}

// Placement is the answer of a scheduler to a Request.
type Placement struct {
	ID            string
	Scheduler     ident.Instance
	Prefill       ident.Server
	Decode        ident.Server
	TransferTime  time.Duration // expected time of the KV transfer
	CachedTokens  int64         // prompt tokens expected in the prefix cache
	RunnerUp      ident.Server
	Score         float64
	RunnerUpScore float64
	Revision      uint64
	ReusesKV      bool // the KV cache at Request.KVSource is transferred and nothing is prefilled
}

// Stage is the progress of a placement.
type Stage uint8

// The stages of a placement, in the order in which they occur. The stages of failure come last.
const (
	StagePlaced Stage = iota
	StagePrefill
	StageTransfer
	StageDecode
	StageDone
	StageFailedPrefill
	StageFailedTransfer
	StageFailedDecode
)

// Ended reports whether s is a final stage.
func (s Stage) Ended() bool { return s >= StageDone }

// Failed reports whether a backend server failed the placement.
func (s Stage) Failed() bool { return s >= StageFailedPrefill }
