// Package place decides which backend servers a request runs on.
package place

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// Ask is a request for a prefill server and a decode server.
type Ask struct {
	Request   ident.Request
	Customer  ident.Customer
	Model     ident.Model
	Class     ident.Class
	Prompt    int64          // tokens
	MaxOutput int64          // tokens
	Pieces    []uint64       // chained hashes of the whole pieces of the prompt
	Waited    time.Duration  // since the request arrived at the entry instance
	Avoid     []ident.Server // servers that failed this request
	Resumed   bool           // the request has been prefilled before
}

// Placement is a scheduler's answer to an Ask.
type Placement struct {
	ID            string
	Scheduler     ident.Instance
	Prefill       ident.Server
	Decode        ident.Server
	Transfer      time.Duration // expected time of the KV transfer
	Cached        int64         // prompt tokens expected in the prefix cache
	RunnerUp      ident.Server
	Score         float64
	RunnerUpScore float64
	Revision      uint64
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
