package crash

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/tick"
)

const (
	// maxWait is how long a request with a suspect part waits for its turn.
	maxWait = time.Second
	// maxSyncWait is how long a request waits for the evidence of a peer after a start or a pause of the process.
	maxSyncWait = 300 * time.Millisecond
)

// ErrNoHome is returned by a Claimer that knows no instance to decide.
var ErrNoHome = errors.New("no instance is known that admits requests with suspect parts")

// ErrNotAdmitted reports that a request may not be written now, see NotAdmittedError.
var ErrNotAdmitted = errors.New("the request is not admitted by the present evidence on the parts of its prompt")

// NotAdmittedError is an ErrNotAdmitted with its reason.
type NotAdmittedError struct {
	Reason string // one of the reasons below
}

// The reasons of a NotAdmittedError.
const (
	ReasonMissing = "missing" // the request was never admitted
	ReasonPaused  = "paused"  // the process was paused since
	ReasonSuspect = "suspect" // a part became suspect since
	ReasonExpired = "expired" // the turn of a suspect request is over
	ReasonCrashed = "crashed" // a server has ended since
)

// Error implements error.
func (e *NotAdmittedError) Error() string { return ErrNotAdmitted.Error() + ": " + e.Reason }

// Local implements fail.LocalError.
func (e *NotAdmittedError) Local() bool { return true }

// Unwrap returns ErrNotAdmitted.
func (e *NotAdmittedError) Unwrap() error { return ErrNotAdmitted }

// Claimer has claims decided by the home of their parts, and knows how recent the evidence of the peers is.
type Claimer interface {
	ClaimStart(ctx context.Context, c Claim, now tick.Instant) (Answer, error)
	// Pauses returns the number of pauses of this process, and a channel that is closed once it has received the
	// evidence of a peer since its start and the last pause, or cannot.
	Pauses() (n uint64, synced <-chan struct{})
}

// noPeers is the Claimer of an instance without peers. It decides by itself.
type noPeers struct {
	t      *Tracker
	synced chan struct{} // closed
}

func newNoPeers(t *Tracker) noPeers {
	p := noPeers{t, make(chan struct{})}
	close(p.synced)
	return p
}

func (p noPeers) ClaimStart(_ context.Context, c Claim, now tick.Instant) (Answer, error) {
	return p.t.Decide(c, true, now), nil
}

func (p noPeers) Pauses() (n uint64, synced <-chan struct{}) { return 0, p.synced }

// RefusedError reports that a request may not be sent because of a part of its prompt.
type RefusedError struct {
	Part    Part
	Verdict Verdict
	Wait    time.Duration // time after which a request may be admitted
	Err     error         // reason why no home has decided, nil if one has
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Verdict == Blocked {
		return "servers end when they begin to answer on a part of the prompt"
	}
	return "it is being tried whether servers end when they answer on a part of the prompt"
}

// Unwrap returns the reason why no home has decided.
func (e *RefusedError) Unwrap() error { return e.Err }

// Grant is the admission of a request. The zero value admits no request that has parts.
type Grant struct {
	given  bool
	at     tick.Instant // 0 for a request without suspect parts
	pauses uint64       // pauses of the process before the admission
}

// Gate admits the requests of this instance. It is safe for concurrent use.
type Gate struct {
	t         *Tracker
	clock     tick.Clock
	sinceBoot func() tick.Instant
	claimer   atomic.Pointer[Claimer]
}

// NewGate returns a Gate. sinceBoot returns the time by a clock that includes suspensions, such as tick.SinceBoot. Its
// instants are larger than the age of any crash that peers report.
func NewGate(t *Tracker, clock tick.Clock, sinceBoot func() tick.Instant) *Gate {
	g := &Gate{t: t, clock: clock, sinceBoot: sinceBoot}
	g.SetClaimer(newNoPeers(t))
	return g
}

// SetClaimer sets what has claims decided. Before the first call, this instance decides by itself.
func (g *Gate) SetClaimer(c Claimer) { g.claimer.Store(&c) }

func (g *Gate) peers() Claimer { return *g.claimer.Load() }

// Tracker returns the evidence on which the Gate decides.
func (g *Gate) Tracker() *Tracker { return g.t }

// Now returns the time by the clock of the evidence.
func (g *Gate) Now() tick.Instant { return g.sinceBoot() }

// Admit returns a grant for a request. If it has a suspect part, Admit waits up to maxWait for its turn. After a start or a
// pause of the process it first waits up to maxSyncWait for the evidence of a peer. The error is a RefusedError.
func (g *Gate) Admit(ctx context.Context, c Claim) (Grant, error) {
	if len(c.Parts) == 0 {
		return Grant{}, nil
	}
	pauses := g.awaitPeers(ctx)
	now := g.sinceBoot()
	for end := now + maxWait; ; now = g.sinceBoot() {
		v, part, due := g.t.Verdict(c.Parts, now)
		if v == Clear {
			return Grant{given: true, pauses: pauses}, nil
		}
		if v == Blocked && now < due {
			return Grant{}, &RefusedError{Part: part, Verdict: v, Wait: due - now}
		}
		a, err := g.decide(ctx, c, now)
		if a.Granted {
			return Grant{given: true, at: now, pauses: pauses}, nil
		}
		refused := &RefusedError{Part: part, Verdict: v, Wait: a.Wait, Err: err}
		if a.Blocked || g.sinceBoot()+a.Wait > end {
			return Grant{}, refused
		}
		if tick.Sleep(ctx, g.clock, a.Wait) != nil {
			return Grant{}, refused
		}
	}
}

// awaitPeers waits for the evidence of a peer if that of this instance may be out of date. It returns the
// number of pauses before.
func (g *Gate) awaitPeers(ctx context.Context) uint64 {
	n, synced := g.peers().Pauses()
	select {
	case <-synced:
		return n
	default:
	}
	t := g.clock.After(maxSyncWait)
	defer t.Stop()
	select {
	case <-synced:
	case <-t.C():
	case <-ctx.Done():
	}
	return n
}

// decide has a claim decided by the home of its parts, or by this instance, without trials, if none
// answers.
func (g *Gate) decide(ctx context.Context, c Claim, now tick.Instant) (Answer, error) {
	a, err := g.peers().ClaimStart(ctx, c, now)
	if err != nil {
		return g.t.Decide(c, false, g.sinceBoot()), err
	}
	return a, nil
}

// Check reports whether a request may be written now: it has no parts, or it was admitted, the process was not paused since then, and it
// has no suspect part, or it was admitted within grantTime and no server has ended since. The error is a NotAdmittedError.
func (g *Gate) Check(grant Grant, parts []Part) error {
	if len(parts) == 0 {
		return nil
	}
	if !grant.given {
		return &NotAdmittedError{ReasonMissing}
	}
	if n, _ := g.peers().Pauses(); n != grant.pauses {
		return &NotAdmittedError{ReasonPaused}
	}
	now := g.sinceBoot()
	v, _, _ := g.t.Verdict(parts, now)
	switch {
	case v == Clear:
		return nil
	case grant.at == 0:
		return &NotAdmittedError{ReasonSuspect}
	case now-grant.at > grantTime:
		return &NotAdmittedError{ReasonExpired}
	case g.t.crashedSince(parts, grant.at):
		return &NotAdmittedError{ReasonCrashed}
	default:
		return nil
	}
}
