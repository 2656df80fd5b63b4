package httpbackend

import (
	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// The paths of a model engine.
const (
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathOrders      = "/v1/orders"
)

// HeaderClaimID carries the claim of a call to a plain service.
const HeaderClaimID = "X-Claim-Id"

// CompletionRequest is the body of a POST to PathCompletions. MaxTokens bounds
// the whole answer, PrefixTokens included; 0 sets no bound.
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

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CachedTokens     uint32 `json:"cached_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
}

// StreamFailure is the error event of a stream.
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

// CacheEvents is the answer to a GET of PathCacheEvents.
type CacheEvents struct {
	Events []backend.CacheEvent `json:"events"`
}

// Sizes of the prompt prefixes that cache events name.
const (
	PrefixBlockBytes  = 64
	PrefixBlockTokens = 16
)

// PrefixHashes returns the hash of each whole-block prefix of prompt, the
// shortest first. The hashes of two versions differ.
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
