package once

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

const (
	copyLimit      = 500 * time.Millisecond // for the acknowledgement of an intent
	maxCopyAge     = 2 * time.Second        // between the copy's start and the write
	fetchLimit     = 2 * time.Second        // for one page of a journal
	syncEvery      = 5 * time.Second
	joinEvery      = 500 * time.Millisecond // between attempts of a process that has not joined
	maxTries       = 3                      // of a call that its gate held back
	expirePerTick  = 4                      // journal shards
	defaultEntries = 20_000
	defaultBytes   = 8 << 20
	maxBody        = 4 << 20 // bytes of a call or its answer that are passed between instances
	defaultAnswer  = 16 << 10
	retryHome      = 2 * time.Second
	defaultKeep    = 10 * time.Minute
	defaultLimit   = 30 * time.Second
	minKeep        = time.Second
	maxWait        = 5 * time.Second  // of a call before it is passed on or noted in the journal
	transit        = 2 * maxWait      // between a call's arrival and its entry in the journal
	settleTime     = 15 * time.Second // until a changed table is in force everywhere
)

// Call is a call with an idempotency key.
type Call struct {
	plain.Call
	Key string
}

// Route is what the table says of a route whose calls may not be repeated.
type Route struct {
	Name      ident.Route
	Centre    ident.Centre  // home data centre, empty for the choice by hash
	Keep      time.Duration // age of its keys
	Limit     time.Duration
	MaxAnswer int64  // bytes
	Status    string // where callers read whether a call took effect
}

// hold returns how long an entry of the route stays in the journal: the age of
// its keys and the time that a call may have been on its way to the home.
func (r Route) hold() time.Duration { return r.keep() + transit }

// limit returns the time for one attempt at the service.
func (r Route) limit() time.Duration {
	if r.Limit <= 0 {
		return defaultLimit
	}
	return r.Limit
}

// maxAnswer returns the bound on an answer's body.
func (r Route) maxAnswer() int64 {
	if r.MaxAnswer <= 0 {
		return maxBody
	}
	return min(r.MaxAnswer, maxBody)
}

// whole returns the time after which the home has certainly decided.
func (r Route) whole() time.Duration { return maxTries*(r.limit()+copyLimit) + maxWait }

func (r Route) keep() time.Duration {
	if r.Keep <= 0 {
		return defaultKeep
	}
	return max(r.Keep, minKeep)
}

// View is one revision of the table.
type View interface {
	Revision() uint64
	Seats() []intent.Member
	Route(ident.Route) (Route, bool)
	Routes() []Route
}

// Table gives the revision in force, and false before there is one.
type Table interface {
	View() (View, bool)
}

// Dialer reaches the process that is in a seat. An error proves that nothing
// was sent.
type Dialer interface {
	Once(ident.Instance) (peerpbconnect.OnceServiceClient, error)
}

// Caller makes the calls.
type Caller interface {
	Call(context.Context, plain.Call) (plain.Answer, error)
}

// Config holds what a Service needs.
type Config struct {
	Self       ident.Node
	Table      Table
	Dialer     Dialer
	Caller     Caller
	Clock      tick.Clock
	Log        zerolog.Logger
	Superseded func() bool // a later process holds the seat; may be nil
	Lost       func()      // called once when a buddy says so; may be nil
	Journal    intent.Config
	Copies     intent.Config
}

func (c *Config) setDefaults() {
	if c.Journal == (intent.Config{}) {
		c.Journal = intent.Config{MaxEntries: defaultEntries, MaxBytes: defaultBytes, MaxBodyBytes: defaultAnswer}
	}
	if c.Copies == (intent.Config{}) {
		c.Copies = intent.Config{MaxEntries: 2 * c.Journal.MaxEntries, MaxBytes: 2 * c.Journal.MaxBytes}
	}
	if c.Superseded == nil {
		c.Superseded = func() bool { return false }
	}
	if c.Lost == nil {
		c.Lost = func() {}
	}
}
