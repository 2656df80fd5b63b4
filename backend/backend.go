// Package backend defines the interfaces to backend servers: model engines and
// plain services. An adapter declares the capabilities of its backend server. The
// system works correctly without any of them.
package backend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// Capabilities lists the optional features of a backend server.
type Capabilities struct {
	// ResumeStream: a broken stream can be resumed at a position.
	ResumeStream bool `json:"resume_stream"`
	// ContinuePrefix: a generation can continue after given output tokens.
	ContinuePrefix bool `json:"continue_prefix"`
	// Cancel: a generation can be cancelled.
	Cancel bool `json:"cancel"`
	// Priority: the engine schedules requests by their priority.
	Priority bool `json:"priority"`
	// CacheEvents: changes of the prefix cache are published.
	CacheEvents bool `json:"cache_events"`
	// ChecksFencing: an order with an old fencing number is refused.
	ChecksFencing bool `json:"checks_fencing"`
}

// Token is one generated token. Text may end in the middle of a UTF-8 rune.
type Token struct {
	ID   uint32 `json:"id"`
	Text []byte `json:"text"`
}

// GenerateRequest asks an engine for the tokens that start at position len(Prefix).
// MaxTokens bounds the complete answer, including Prefix. Requests with a higher
// Priority run first.
type GenerateRequest struct {
	StreamID  string               `json:"stream_id"`
	Workspace wigeonfork.Workspace `json:"workspace"`
	Model     wigeonfork.Model     `json:"model"`
	Version   wigeonfork.Version   `json:"version"`
	Adapter   string               `json:"adapter,omitempty"`
	Prompt    string               `json:"prompt"`
	Seed      uint64               `json:"seed"`
	MaxTokens uint32               `json:"max_tokens"`
	Priority  int                  `json:"priority"`
	// Prefix holds the IDs of the output tokens that were already delivered.
	Prefix []uint32 `json:"prefix,omitempty"`
}

// StopReason is the reason why an answer is complete.
type StopReason string

// The stop reasons.
const (
	StopEnd    StopReason = "stop"
	StopLength StopReason = "length"
)

// Chunk is a part of a stream: the tokens that start at Position, or the end. At
// the end, Position is the number of tokens of the complete answer. PromptTokens and
// CachedTokens are 0 if the chunk does not report them. CachedTokens is the part of
// PromptTokens that was found in the prefix cache.
type Chunk struct {
	Position     wigeonfork.Position
	Tokens       []Token
	Done         bool
	Stop         StopReason
	PromptTokens uint32
	CachedTokens uint32
}

// Stream delivers the chunks of one generation. Next returns io.EOF only after a
// chunk with Done. If the stream ends otherwise, the error states an outcome.
type Stream interface {
	Next(ctx context.Context) (Chunk, error)
	Close() error
}

// LoadReport is the load that an engine reports. It lags behind the actual load.
type LoadReport struct {
	// Running and Waiting are the numbers of running and queued requests. Slots is the
	// maximum of Running.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Slowdown is the factor by which work takes longer at this moment than usual; 0 if it is not reported.
	Slowdown float64 `json:"slowdown,omitempty"`
	// TokensPerSecond is the total rate of all running requests.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// CacheUsed is the used fraction of the prefix cache, from 0 to 1.
	CacheUsed  float64   `json:"cache_used"`
	MeasuredAt time.Time `json:"measured_at"`
	// Incarnation changes with each restart of the engine.
	Incarnation string `json:"incarnation"`
	// Versions are the model versions held by the engine.
	Versions []LoadedVersion `json:"versions"`
}

// LoadedVersion is one model version held by an engine. Ready is false while it
// cannot serve requests yet.
type LoadedVersion struct {
	Model   wigeonfork.Model   `json:"model"`
	Version wigeonfork.Version `json:"version"`
	Ready   bool               `json:"ready"`
}

// CacheEvent reports that the prompt prefix with hash Prefix was added to the
// prefix cache or removed from it. Tokens is the length of the prefix. Sequence
// numbers increase within an incarnation of the engine.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Tokens   uint32 `json:"tokens"`
	Removed  bool   `json:"removed"`
}

// OrderKind is the change that an order asks for.
type OrderKind string

// Order kinds that engines accept.
const (
	OrderLoad       OrderKind = "load"
	OrderUnload     OrderKind = "unload"
	OrderChangeRole OrderKind = "change_role"
)

// Order asks a backend server to load or unload a version or to change its role.
// It carries the fencing number of the lease on Scope.
type Order struct {
	Kind    OrderKind                `json:"kind"`
	Scope   string                   `json:"scope"`
	Fencing wigeonfork.FencingNumber `json:"fencing"`
	Model   wigeonfork.Model         `json:"model"`
	Version wigeonfork.Version       `json:"version"`
	Adapter string                   `json:"adapter,omitempty"`
	Role    string                   `json:"role,omitempty"`
}

// Engine is a model engine. Errors are of type *infra.Error.
type Engine interface {
	Capabilities() Capabilities
	// Generate starts a generation and returns its stream.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Resume returns the stream of a running or buffered generation, starting at
	// position from. It fails with infra.ErrNotFound if the engine no longer holds it.
	Resume(ctx context.Context, streamID string, from wigeonfork.Position) (Stream, error)
	// Cancel stops a generation.
	Cancel(ctx context.Context, streamID string) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events with a Sequence above since, oldest first. Old
	// events may be missing.
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	// Order carries out an order. It may return before a load has finished.
	Order(ctx context.Context, order Order) error
}

// Call is a request to a plain service. ClaimID identifies the claim under which it
// runs.
type Call struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    []byte `json:"body"`
	ClaimID string `json:"claim_id"`
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Service is a plain service. A call is sent at most once. An error with
// OutcomeNotDone means that no byte of the call was sent.
type Service interface {
	Call(ctx context.Context, call Call) (Reply, error)
}

// ErrRejected is the cause of an error about a request that the backend server
// refused as invalid. A retry would be refused as well.
var ErrRejected = errors.New("request rejected")

// ErrOverloaded is the cause of an error about a request for which the backend
// server has no free capacity at present.
var ErrOverloaded = errors.New("backend server is overloaded")
