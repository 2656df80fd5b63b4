// Package backend defines the interface to backend servers: model engines and
// plain services. An adapter declares what its backend server can do, and the
// system does right when a capability is absent.
package backend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// Capabilities tells what a backend server can do.
type Capabilities struct {
	// ResumeStream: a broken stream can be taken up at a position.
	ResumeStream bool `json:"resume_stream"`
	// ContinuePrefix: a generation can start behind forced output tokens.
	ContinuePrefix bool `json:"continue_prefix"`
	// Cancel: a generation can be stopped.
	Cancel bool `json:"cancel"`
	// Priority: requests carry a priority that the batch honours.
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

// GenerateRequest asks an engine for the tokens from position len(Prefix) on.
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
	// Prefix holds the ids of output tokens that are already delivered.
	Prefix []uint32 `json:"prefix,omitempty"`
}

// StopReason tells why a generation ended.
type StopReason string

// The stop reasons.
const (
	StopEnd    StopReason = "stop"
	StopLength StopReason = "length"
)

// Chunk is a part of a stream: tokens from Position on, or the end. At the
// end Position is the number of tokens of the whole answer.
type Chunk struct {
	Position     wigeonfork.Position
	Tokens       []Token
	Done         bool
	Stop         StopReason
	PromptTokens uint32
	CachedTokens uint32
}

// Stream delivers the chunks of one generation. Next fails with io.EOF only
// after a chunk with Done; any other end is an error with an outcome.
type Stream interface {
	Next(ctx context.Context) (Chunk, error)
	Close() error
}

// LoadReport is what an engine says of its load, with a lag.
type LoadReport struct {
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	Slots           int       `json:"slots"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	CacheUsed       float64   `json:"cache_used"`
	MeasuredAt      time.Time `json:"measured_at"`
	// Incarnation changes with each restart of the engine.
	Incarnation string `json:"incarnation"`
	// Versions that are loaded and ready.
	Versions []LoadedVersion `json:"versions"`
}

// LoadedVersion is one version held by an engine.
type LoadedVersion struct {
	Model   wigeonfork.Model   `json:"model"`
	Version wigeonfork.Version `json:"version"`
	Ready   bool               `json:"ready"`
}

// CacheEvent says that the prefix with hash Prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Tokens   uint32 `json:"tokens"`
	Removed  bool   `json:"removed"`
}

// OrderKind tells what an order asks for.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoad       OrderKind = "load"
	OrderUnload     OrderKind = "unload"
	OrderChangeRole OrderKind = "change_role"
)

// Order asks a backend server to change what it holds. It carries the lease's
// fencing number.
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
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	Resume(ctx context.Context, streamID string, from wigeonfork.Position) (Stream, error)
	Cancel(ctx context.Context, streamID string) error
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}

// Call is a request to a plain service.
type Call struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    []byte `json:"body"`
	ClaimID string `json:"claim_id"`
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Service is a plain service. A call is sent at most once; an error of
// OutcomeNotDone means that no byte of it left.
type Service interface {
	Call(ctx context.Context, call Call) (Reply, error)
}

// ErrRejected is the cause of an error about a request that the backend server
// refused as invalid: it would refuse it again.
var ErrRejected = errors.New("request rejected")

// ErrOverloaded is the cause of an error about a request for which the backend
// server has no room at present.
var ErrOverloaded = errors.New("backend server is overloaded")
