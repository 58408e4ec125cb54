// Package place decides which backend servers a request runs on.
//
// A Pool holds what one scheduler knows of the backend servers of one model in
// one data centre: their roles and rates, their lagging load reports, its own
// placements that no report covers yet, and hints on what their prefix caches
// hold. Choose picks a prefill server and a decode server; Commit reserves a
// decode place and time on the link before the prefill starts.
//
// # Usage
//
//	p := place.NewPool(place.Config{Rand: rand.NewPCG(1, 2)})
//	p.Configure(spec)
//	c, v := p.Choose(&query, now)
//	if v == place.Chosen {
//		h := p.Commit(&query, c, now)
//		...
//		p.Prefilled(h, now)
//		p.Release(h, now)
//	}
//
// # Invariants
//
// A server that departs, that the query avoids or that is set aside is never
// chosen; at most half of the servers of a role are set aside at once. Reports
// are applied in the order of their sequence numbers. The prefix view of a
// server starts afresh at a gap in its events and its memory is bounded.
//
// A Pool is not safe for concurrent use, reads no clock, and takes its
// randomness from Config.Rand.
package place

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Request is a request for a prefill server and a decode server.
type Request struct {
	RequestID       ident.Request
	Customer        ident.Customer
	Model           ident.Model
	Class           ident.Class
	PromptTokens    int64          // tokens
	MaxOutputTokens int64          // tokens
	BlockHashes     []uint64       // chained hashes of the whole pieces of the prompt
	Waited          time.Duration  // since the request arrived at the entry instance
	Avoid           []ident.Server // servers that failed this request
	Resumed         bool           // the request has been prefilled before
	// KVSource names the prefill server that still holds the KV cache. The
	// placement says whether it is moved or the prompt is prefilled again.
	KVSource ident.Server
}

// Placement is a scheduler's answer to an Ask.
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
	ReusesKV      bool // the KV cache that the Ask names is moved, nothing is prefilled
}

// Stage is how far a placement has come.
type Stage uint8

// The stages of a placement, in the order in which they are met.
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

// Ended reports whether no stage follows s.
func (s Stage) Ended() bool { return s >= StageDone }

// Failed reports whether a backend server failed the placement.
func (s Stage) Failed() bool { return s >= StageFailedPrefill }
