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
	maxChatBody              = 8 << 20 // bytes
	maxPlainBody             = 1 << 20 // bytes, for routes without MaxBody
	maxHeaderBytes           = 32 << 10
	defaultHeaderTimeout     = 5 * time.Second  // limit for reading the headers of a request
	defaultBodyIdleTimeout   = 10 * time.Second // limit between two reads of a request body
	bodyTimeout              = 60 * time.Second // limit for reading a complete request body
	idleTimeout              = 2 * time.Minute  // longest idle time of a keep-alive connection between requests
	defaultStallTimeout      = 10 * time.Second // limit for a caller to read the written bytes
	defaultDrainDelay        = 5 * time.Second  // time for the load balancer to detect a drain
	defaultGenerationTimeout = 10 * time.Minute // limit for a complete response of a model
	defaultMaxOutput         = 512              // tokens
	bytesPerToken            = 4
	maxIdempotencyKey        = 255      // bytes of an idempotency key
	maxRequestID             = 64       // bytes
	writeChunkBytes          = 32 << 10 // bytes of a complete response per write
)

// Model holds the configuration of a model.
type Model struct {
	Name      ident.Model
	Class     ident.Class // default latency class
	MaxPrompt int64       // tokens
	MaxOutput int64       // tokens
}

// Class is a latency class: a set of latency targets that a request selects.
type Class struct {
	Name             ident.Class
	FirstTokenTarget time.Duration // target for the time to first token
	GapTarget        time.Duration // target for the time between tokens
	Timeout          time.Duration // limit for the complete response; zero means defaultGenerationTimeout
}

// Route maps a path prefix to a plain service.
type Route struct {
	Name        ident.Route
	Public      bool // needs no API key
	Idempotent  bool
	Timeout     time.Duration
	MaxBody     int64 // bytes; zero means maxPlainBody
	MaxResponse int64 // bytes; zero means the default of package plain
	Tokens      int64 // tokens charged for each call; zero means that calls are free
}

// View is a read-only view of one revision of the configuration. KeyOwner takes
// the SHA-256 of an API key.
type View interface {
	Revision() uint64
	KeyOwner(sum [32]byte) (ident.Customer, bool)
	Model(ident.Model) (Model, bool)
	Models() []ident.Model
	Class(ident.Class) (Class, bool)
	RouteFor(path string) (Route, bool)
}

// ConfigSource returns the revision of the configuration in force, and false
// before the first one is loaded.
type ConfigSource interface {
	View() (View, bool)
}

// Limiter charges requests to the rate limits of their customers. The caller of
// Admit calls settle exactly once, with the tokens that the request used; fresh
// reports whether the charge is still valid.
type Limiter interface {
	Admit(ctx context.Context, r ident.Request, c ident.Customer, tokens int64) (settle func(used int64), fresh func() bool, err error)
}

// Generation is a validated chat completion request.
type Generation struct {
	Request      ident.Request
	Customer     ident.Customer
	Model        ident.Model
	Class        Class
	Prompt       string
	PromptTokens int64
	MaxOutput    int64
	Seed         int64
	Exact        bool // the output must be reproducible: temperature zero and a seed
	Arrived      tick.Instant
	Deadline     tick.Instant
	ChargeValid  func() bool // reports whether the charge of the limiter is still valid
}

// Result describes how a Generation was run, whether it completed or not.
type Result struct {
	OutputTokens   int64  // tokens passed to the sink
	Reason         string // finish reason, if the response is complete
	FirstToken     time.Duration
	MaxGap         time.Duration
	OnTime         bool  // complete and within both latency targets
	WastedTokens   int64 // prompt tokens computed but not used
	ComputedTokens int64 // prompt tokens computed
	CachedTokens   int64 // prompt tokens found in prefix caches
	Attempts       int
	Prefills       int
	Transfers      int
	Resumes        int   // streams reopened after an interruption
	Restarts       int   // new runs after a part of the response was sent
	StrayEvents    int64 // dropped events that did not belong to the response
	Prefill        ident.Server
	Decode         ident.Server
}

// Sink receives the output of a model, token by token. The offset of the first
// token is zero.
type Sink interface {
	Token(offset int64, text string) error
}

// Generator runs requests on model servers. A nil error means that the sink
// received the complete response.
type Generator interface {
	Run(ctx context.Context, g Generation, s Sink) (Result, error)
}

// PlainCaller calls plain services.
type PlainCaller interface {
	Call(ctx context.Context, c plain.Call) (plain.Answer, error)
}

// KeyedCaller runs each call with an idempotency key at most once.
type KeyedCaller interface {
	Run(ctx context.Context, c once.Call) (plain.Answer, error)
}

// Meter records the metrics of requests. The argument within is true if the rejected
// request was within the rate limits of its customer.
type Meter interface {
	RecordEnded(RequestStats)
	RecordRejection(c ident.Customer, code fail.Code, within bool)
}

// RequestStats is the record of one chat completion request that was admitted and
// not rejected.
type RequestStats struct {
	Customer     ident.Customer
	Model        ident.Model
	Outcome      ident.Outcome
	Result       Result
	PromptTokens int64
	Abandoned    bool // the caller disconnected or stopped reading before the end
}

// Config holds the dependencies and limits of a Server. Durations that are zero
// get a default.
type Config struct {
	Source    ConfigSource
	Limiter   Limiter
	Generator Generator
	Plain     PlainCaller
	Keyed     KeyedCaller
	Meter     Meter
	Clock     tick.Clock
	Log       zerolog.Logger

	// ErrorCode returns the code and the Retry-After time of an error that is not a
	// fail.Refusal. If it is nil, such errors get fail.CodeBackendFailed.
	ErrorCode func(error) (fail.Code, time.Duration)
	// NewID returns an identifier for a request that has no valid X-Request-Id.
	NewID func() ident.Request
	// WallClock returns the time for the creation field of responses; nil means
	// time.Now.
	WallClock func() time.Time
	// TLS is the TLS configuration; nil means plaintext.
	TLS *tls.Config
	// HeaderTimeout is the time limit for reading the headers of a request.
	HeaderTimeout time.Duration
	// BodyIdleTimeout is how long a caller may send nothing while its body is read.
	BodyIdleTimeout time.Duration
	// StallTimeout is the time limit for each write to a caller. A caller that
	// reads nothing for this time is disconnected.
	StallTimeout time.Duration
	// MaxActive is the limit on requests in progress; zero means no limit.
	MaxActive int64
	// DrainDelay is how long Drain keeps accepting requests before it waits for the
	// active ones to end.
	DrainDelay time.Duration
}
