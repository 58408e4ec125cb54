package front

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

const (
	maxChatBody    = 8 << 20 // bytes
	maxPlainBody   = 1 << 20 // bytes, for routes without a limit
	maxHeaderBytes = 32 << 10
	defaultHeader  = 5 * time.Second  // for a request's headers to arrive
	defaultBody    = 10 * time.Second // of silence while a body arrives
	bodyLimit      = 60 * time.Second // for a whole body to arrive
	idleLimit      = 2 * time.Minute  // of a kept-alive connection
	defaultStall   = 10 * time.Second // for a caller to take what was written
	defaultSettle  = 5 * time.Second  // for the balancer to notice a drain
	defaultWhole   = 10 * time.Minute // for a whole answer of a model
	defaultOutput  = 512              // tokens
	bytesPerToken  = 4
	maxIdempotency = 255      // bytes of an idempotency key
	maxRequestID   = 64       // bytes
	pieceBytes     = 32 << 10 // of a whole answer written at a time
)

// Model is what the table says of a model.
type Model struct {
	Name      ident.Model
	Class     ident.Class // default latency class
	MaxPrompt int64       // tokens
	MaxOutput int64       // tokens
}

// Class is a latency class.
type Class struct {
	Name             ident.Class
	FirstTokenTarget time.Duration // target
	GapTarget        time.Duration // target between tokens
	Timeout          time.Duration // for the whole answer, zero for the default
}

// Route leads a path prefix to a plain service.
type Route struct {
	Name        ident.Route
	Public      bool // needs no key
	Idempotent  bool
	Timeout     time.Duration
	MaxBody     int64 // bytes, zero for the default
	MaxResponse int64 // bytes, zero for the default
	Tokens      int64 // charged for each call
}

// View is one revision of the table.
type View interface {
	Revision() uint64
	KeyOwner(sum [32]byte) (ident.Customer, bool)
	Model(ident.Model) (Model, bool)
	Models() []ident.Model
	Class(ident.Class) (Class, bool)
	RouteFor(path string) (Route, bool)
}

// ConfigSource gives the revision in force, and false before there is one.
type ConfigSource interface {
	View() (View, bool)
}

// Limiter admits requests within their customers' rates. Settle is told once
// what was used; fresh reports whether the tokens may still be spent.
type Limiter interface {
	Admit(ctx context.Context, r ident.Request, c ident.Customer, tokens int64) (settle func(used int64), fresh func() bool, err error)
}

// Generation is a request to a model.
type Generation struct {
	Request      ident.Request
	Customer     ident.Customer
	Model        ident.Model
	Class        Class
	Prompt       string
	PromptTokens int64
	MaxOutput    int64
	Seed         int64
	Exact        bool // temperature zero and a seed
	Arrived      tick.Instant
	Deadline     tick.Instant
	ChargeValid  func() bool // the charged tokens may still be spent
}

// Result tells what became of a Generation, whole or not.
type Result struct {
	OutputTokens   int64  // tokens given to the sink
	Reason         string // finish reason if the answer is whole
	FirstToken     time.Duration
	MaxGap         time.Duration
	OnTime         bool  // whole and within both latency targets
	WastedTokens   int64 // prompt tokens computed in vain
	ComputedTokens int64 // prompt tokens computed
	CachedTokens   int64 // prompt tokens found in prefix caches
	Attempts       int
	Prefills       int
	Transfers      int
	Resumes        int   // streams opened again
	Restarts       int   // runs again after a part was sent
	StrayEvents    int64 // events that were not of the answer, dropped
	Prefill        ident.Server
	Decode         ident.Server
}

// Sink takes the output of a model, token by token.
type Sink interface {
	Token(offset int64, text string) error
}

// Generator runs requests to models. A nil error means that the sink got the
// whole answer.
type Generator interface {
	Run(ctx context.Context, g Generation, s Sink) (Result, error)
}

// PlainCaller calls plain services.
type PlainCaller interface {
	Call(ctx context.Context, c plain.Call) (plain.Answer, error)
}

// KeyedCaller runs calls with an idempotency key at most once.
type KeyedCaller interface {
	Run(ctx context.Context, c once.Call) (plain.Answer, error)
}

// Meter takes the measures.
type Meter interface {
	RecordEnded(RequestStats)
	RecordRejection(c ident.Customer, code fail.Code, within bool)
}

// RequestStats is what the meter learns of a request to a model that was admitted.
type RequestStats struct {
	Customer     ident.Customer
	Model        ident.Model
	Outcome      ident.Outcome
	Result       Result
	PromptTokens int64
	Abandoned    bool // the caller left before the end
}

// Config holds what a Server needs.
type Config struct {
	Source    ConfigSource
	Limiter   Limiter
	Generator Generator
	Plain     PlainCaller
	Keyed     KeyedCaller
	Meter     Meter
	Clock     tick.Clock
	Log       zerolog.Logger

	// ErrorCode gives the code and the time to come back for errors of the
	// generator that are no refusals. It may be nil.
	ErrorCode func(error) (fail.Code, time.Duration)
	// NewID makes the identifiers of requests that come without one.
	NewID func() ident.Request
	// WallClock tells the time that answers carry; nil for the machine's clock.
	WallClock func() time.Time
	// TLS is nil for plain text.
	TLS *tls.Config
	// HeaderTimeout is how long the headers of a request may take.
	HeaderTimeout time.Duration
	// BodyIdleTimeout is how long a caller may be silent while it sends a body.
	BodyIdleTimeout time.Duration
	// StallTimeout is how long a caller may take nothing of what was written.
	StallTimeout time.Duration
	// MaxActive bounds the requests on their way; zero means no bound.
	MaxActive int64
	// DrainDelay is how long Drain keeps accepting before it waits for the end.
	DrainDelay time.Duration
}
