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
	copyLimit      = 1500 * time.Millisecond // time limit for a backup's acknowledgement, without which the call does not run
	endCopyLimit   = 500 * time.Millisecond  // the same for an end, for which the caller waits, and for a probe
	maxCopyAge     = 2 * time.Second         // from the start of the copy to the first write
	fetchLimit     = 2 * time.Second         // time limit for one page of a journal
	syncEvery      = 5 * time.Second
	joinEvery      = 500 * time.Millisecond // between rounds until the process has joined
	maxTries       = 3                      // attempts of a call whose copy became too old
	expirePerTick  = 4                      // shards of the journal
	defaultEntries = 20_000
	defaultBytes   = 8 << 20
	maxBody        = 4 << 20 // bytes of a call's body or of its answer between instances
	defaultAnswer  = 16 << 10
	retryHome      = 2 * time.Second
	defaultKeep    = 10 * time.Minute
	defaultLimit   = 30 * time.Second
	minKeep        = time.Second
	maxWait        = 5 * time.Second  // time until a call is forwarded or recorded in the journal
	transit        = 2 * maxWait      // at most from a call's arrival to its entry in the journal
	settleTime     = 15 * time.Second // until a changed table is in force everywhere
)

// Call is a call with an idempotency key.
type Call struct {
	plain.Call
	Key string
}

// Route is a route of the table whose calls are not idempotent.
type Route struct {
	Name      ident.Route
	Centre    ident.Centre  // data centre of the homes; if empty, chosen by hash
	Keep      time.Duration // time for which a key is remembered
	Limit     time.Duration
	MaxAnswer int64  // bytes
	Status    string // where callers read whether a call took effect
}

// hold returns how long an entry of the route stays in the journal: the time for
// which its keys are remembered and the time that a call may take to its home.
func (r Route) hold() time.Duration { return r.keep() + transit }

// limit returns the time limit of one attempt at the service.
func (r Route) limit() time.Duration {
	if r.Limit <= 0 {
		return defaultLimit
	}
	return r.Limit
}

// maxAnswer returns the maximum size of an answer's body.
func (r Route) maxAnswer() int64 {
	if r.MaxAnswer <= 0 {
		return maxBody
	}
	return min(r.MaxAnswer, maxBody)
}

// whole returns the time after which the home has decided in any case.
func (r Route) whole() time.Duration { return maxTries*(r.limit()+copyLimit+endCopyLimit) + maxWait }

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

// Table returns the revision in force, and false before there is one.
type Table interface {
	View() (View, bool)
}

// Dialer returns a client of the process in a seat. If it returns an error,
// nothing was sent.
type Dialer interface {
	Once(ident.Instance) (peerpbconnect.OnceServiceClient, error)
}

// Caller sends the calls to the services.
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
	Lost       func()      // called once if a backup reports a later process; may be nil
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
