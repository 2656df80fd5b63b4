package httpbackend

import (
	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// URL paths of a model engine. PathStreams is followed by the stream ID.
const (
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
)

// HeaderClaimID is the header with the claim ID of a call to a plain service.
const HeaderClaimID = "X-Claim-Id"

// CompletionRequest is the body of a POST to PathCompletions. MaxTokens bounds the
// complete answer, including PrefixTokens; 0 means no limit.
type CompletionRequest struct {
	Model        wigeonfork.Model     `json:"model"`
	Version      wigeonfork.Version   `json:"version"`
	Adapter      string               `json:"adapter,omitempty"`
	User         wigeonfork.Workspace `json:"user,omitempty"`
	Prompt       string               `json:"prompt"`
	Seed         uint64               `json:"seed"`
	MaxTokens    uint32               `json:"max_tokens"`
	Priority     int                  `json:"priority"`
	Stream       bool                 `json:"stream"`
	StreamID     string               `json:"stream_id"`
	PrefixTokens []uint32             `json:"prefix_tokens,omitempty"`
}

// Usage holds the token counts of a complete answer.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CachedTokens     uint32 `json:"cached_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
}

// StreamFailure is the error in the last event of a failed stream.
type StreamFailure struct {
	Message string `json:"message"`
}

// CompletionChunk is one event of a stream.
type CompletionChunk struct {
	Position     wigeonfork.Position `json:"position"`
	Tokens       []backend.Token     `json:"tokens,omitempty"`
	FinishReason backend.StopReason  `json:"finish_reason,omitempty"`
	Usage        *Usage              `json:"usage,omitempty"`
	Error        *StreamFailure      `json:"error,omitempty"`
}

// CacheEvents is the response to a GET of PathCacheEvents.
type CacheEvents struct {
	Events []backend.CacheEvent `json:"events"`
}

// The prefix cache holds prompts in blocks. A block has PrefixBlockBytes of the
// prompt and counts as PrefixBlockTokens.
const (
	PrefixBlockBytes  = 64
	PrefixBlockTokens = 16
)

// PrefixHashes returns the hash of each prefix of prompt that consists of complete
// blocks, shortest first. The hashes also depend on model, version and adapter.
func PrefixHashes(model wigeonfork.Model, version wigeonfork.Version, adapter, prompt string) []uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(model), string(version), adapter} {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for len(prompt) >= PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		prompt = prompt[PrefixBlockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
