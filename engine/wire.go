package engine

import "wasabidock.dev/dock/ident"

// The paths of the engine's HTTP interface.
const (
	PathReserve = "/v1/reserve"
	PathPrefill = "/v1/prefill"
	PathImport  = "/v1/import"
	PathStream  = "/v1/stream"
	PathCancel  = "/v1/cancel"
	PathTouch   = "/v1/touch"
	PathHolds   = "/v1/holds"
	PathLoad    = "/v1/load"
	PathEvents  = "/v1/events"
	PathOrders  = "/v1/orders"
	PathKV      = "/v1/kv/"
)

// CallIDHeader is the header field with the ID of a call. The engine returns it unchanged in the
// response, whatever its status.
const CallIDHeader = "Call-Id"

// The codes of rejected calls.
const (
	CodeFull             = "full"
	CodeModelNotLoaded   = "model"
	CodeDraining         = "draining"
	CodeKVGone           = "kv"
	CodeUnknownAttempt   = "attempt"
	CodeStaleFence       = "fence"
	CodeExportUnreadable = "source"
	CodeFailed           = "failed"
)

// The kinds of holds. A hold is what an engine reserves for an attempt.
const (
	HoldSlot    = "place"
	HoldKV      = "kv"
	HoldPrefill = "prefill"
	HoldStream  = "stream"
)

// ReserveRequest is the request body of PathReserve.
type ReserveRequest struct {
	Attempt   string      `json:"attempt"`
	Model     ident.Model `json:"model"`
	TTLMS     int64       `json:"hold_ms"`
	Priority  int         `json:"priority"`
	MaxOutput int64       `json:"max_output"`
	Seed      int64       `json:"seed"`
	Exact     bool        `json:"exact"`
}

// ReserveResponse is the response body of PathReserve.
type ReserveResponse struct {
	Slot  string `json:"place"`
	Build string `json:"build"`
}

// PrefillRequest is the request body of PathPrefill.
type PrefillRequest struct {
	Attempt  string       `json:"attempt"`
	Model    ident.Model  `json:"model"`
	Prompt   string       `json:"prompt"`
	Priority int          `json:"priority"`
	TTLMS    int64        `json:"hold_ms"`
	Decode   ident.Server `json:"decode"`
}

// PrefillResponse is the response body of PathPrefill. Newlines may precede it as heartbeats.
type PrefillResponse struct {
	Refusal
	Attempt      string `json:"attempt"`
	KV           string `json:"kv"`
	Tokens       int64  `json:"tokens"`
	CachedTokens int64  `json:"cached_tokens"`
	TookMS       int64  `json:"took_ms"`
	TTLMS        int64  `json:"life_ms"`
}

// ImportRequest is the request body of PathImport. Source is the base URL of the engine that exports
// the KV cache.
type ImportRequest struct {
	Attempt string `json:"attempt"`
	Slot    string `json:"place"`
	KV      string `json:"kv"`
	Source  string `json:"source"`
}

// ImportResponse is the response body of PathImport. Newlines may precede it as heartbeats.
type ImportResponse struct {
	Refusal
	Attempt string `json:"attempt"`
	TookMS  int64  `json:"took_ms"`
	Bytes   int64  `json:"bytes"`
}

// TokenEvent is the data of a token event on PathStream.
type TokenEvent struct {
	Attempt string `json:"attempt"`
	Offset  int64  `json:"offset"`
	Text    string `json:"text"`
	Token   int64  `json:"token"`
}

// EndEvent is the data of the event "end" on PathStream.
type EndEvent struct {
	Attempt string `json:"attempt"`
	Total   int64  `json:"total"`
	Reason  string `json:"reason"`
}

// CancelRequest is the request body of PathCancel. If IdleOverMS is positive, only holds that have been
// idle for longer are released.
type CancelRequest struct {
	Attempt    string `json:"attempt"`
	IdleOverMS int64  `json:"idle_over_ms,omitempty"`
}

// CancelResponse is the response body of PathCancel.
type CancelResponse struct {
	Released int `json:"released"`
}

// TouchRequest is the request body of PathTouch.
type TouchRequest struct {
	Attempts []string `json:"attempts"`
}

// TouchResponse is the response body of PathTouch. Gone lists the attempts without a hold.
type TouchResponse struct {
	Gone []string `json:"gone"`
}

// HoldEntry is one hold in the response of PathHolds.
type HoldEntry struct {
	Attempt string `json:"attempt"`
	Kind    string `json:"kind"`
	IdleMS  int64  `json:"idle_ms"`
	TTLMS   int64  `json:"life_ms"`
}

// LoadReport is an engine's report on itself, the response body of PathLoad.
type LoadReport struct {
	Server          ident.Server  `json:"server"`
	Seq             uint64        `json:"seq"`
	Role            string        `json:"role"`
	Models          []LoadedModel `json:"models"`
	Loading         []LoadedModel `json:"loading"`
	QueuedTokens    int64         `json:"queue_tokens"`
	Slots           int           `json:"places"`
	BusySlots       int           `json:"busy"`
	TokenIntervalMS float64       `json:"token_ms"`
	AgeMS           int64         `json:"age_ms"`
	Draining        bool          `json:"draining"`
	Fence           uint64        `json:"fence"` // highest fencing number received, 0 if the engine ignores them
}

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model   ident.Model `json:"model"`
	Adapter string      `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
}

// CacheEvent is a change of an engine's prefix cache. A gap in Seq means that
// events were lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"add,omitempty"`
	Evicted []uint64 `json:"drop,omitempty"`
}

// OrderRequest is the request body of PathOrders. Kind is "load", "unload" or "role".
type OrderRequest struct {
	Kind    string      `json:"kind"`
	Model   ident.Model `json:"model,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
	Role    string      `json:"role,omitempty"`
	Fence   uint64      `json:"fence"`
}

// Refusal is the response body of a call that the engine rejected or failed.
type Refusal struct {
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}
