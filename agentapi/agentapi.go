// Package agentapi is the protocol by which entries use agents: requests as
// JSON over HTTP, and the tokens of a generation as a stream of frames.
package agentapi

import (
	"net/url"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/membership"
)

// The paths that an agent serves.
const (
	PathGenerate = "/v1/generate"
	PathAttach   = "/v1/generations"
	PathDispatch = "/v1/actions/dispatch"
	PathResolve  = "/v1/actions/resolve"
	PathRecorded = "/v1/actions/recorded"
)

// HeartbeatInterval is the longest time between two frames of a stream.
const HeartbeatInterval = 200 * time.Millisecond

// LoadInterval is the least time between two frames of a stream that tell the
// engine's load.
const LoadInterval = 500 * time.Millisecond

// MaxBodyBytes bounds the body of a request to an agent.
const MaxBodyBytes = 8 << 20

// Generate asks an agent to begin a generation. The answer is a stream of
// frames from position len(Prefix) on.
type Generate struct {
	RequestID  wigeonfork.RequestID  `json:"request_id"`
	Generation wigeonfork.Generation `json:"generation"`
	Workspace  wigeonfork.Workspace  `json:"workspace"`
	Class      wigeonfork.Class      `json:"class"`
	Model      wigeonfork.Model      `json:"model"`
	Version    wigeonfork.Version    `json:"version"`
	Adapter    string                `json:"adapter,omitempty"`
	Prompt     string                `json:"prompt"`
	Seed       uint64                `json:"seed"`
	MaxTokens  uint32                `json:"max_tokens"`
	Priority   int                   `json:"priority"`
	Prefix     []backend.Token       `json:"prefix,omitempty"`
	// OrphanMillis is how long the generation goes on without an entry.
	OrphanMillis int64 `json:"orphan_ms"`
}

// EngineRequest returns what the engine is asked.
func (g *Generate) EngineRequest() backend.GenerateRequest {
	request := backend.GenerateRequest{
		StreamID:  string(g.RequestID) + "." + strconv.FormatUint(uint64(g.Generation), 10),
		Workspace: g.Workspace,
		Model:     g.Model,
		Version:   g.Version,
		Adapter:   g.Adapter,
		Prompt:    g.Prompt,
		Seed:      g.Seed,
		MaxTokens: g.MaxTokens,
		Priority:  g.Priority,
	}
	for _, token := range g.Prefix {
		request.Prefix = append(request.Prefix, token.ID)
	}
	return request
}

// Status is what an agent says of itself and its backend server.
type Status struct {
	Host          wigeonfork.HostID          `json:"host"`
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`
	Domain        wigeonfork.FailureDomain   `json:"failure_domain"`
	// Incarnation changes with each start of the agent.
	Incarnation string `json:"incarnation"`
	// MemberIncarnation changes with each start and each pause of the agent.
	// Sequence grows with each status of one of them.
	MemberIncarnation membership.Incarnation `json:"member_incarnation"`
	Sequence          uint64                 `json:"sequence"`
	// Changes counts what entries should not miss: it differs from the count in
	// a heartbeat frame if the status is out of date.
	Changes uint32 `json:"changes"`
	Leaving bool   `json:"leaving"`
	// Plain tells that the backend server is a plain service.
	Plain bool `json:"plain,omitempty"`
	// EngineUp is false while the backend server does not answer.
	EngineUp bool                `json:"engine_up"`
	Load     backend.LoadReport  `json:"load"`
	Revision wigeonfork.Revision `json:"revision"`
	// CacheEvents are the events since the last status.
	CacheEvents []backend.CacheEvent `json:"cache_events,omitempty"`
}

// Dispatch asks an agent to run a claimed call once.
type Dispatch struct {
	Claim action.Claim `json:"claim"`
	Call  backend.Call `json:"call"`
}

// PathCall is the end of the path that answers with the Generate call of a
// generation, without its prefix.
const PathCall = "/call"

// HeaderReader names the reader that an entry is at a session. An entry that
// attaches again or releases says which reader it was, so that it can't undo
// the doing of an entry that displaced it.
const HeaderReader = "X-Reader"

// GenerationPath returns the path of one generation.
func GenerationPath(id wigeonfork.RequestID, g wigeonfork.Generation) string {
	return PathAttach + "/" + url.PathEscape(string(id)) + "/" + strconv.FormatUint(uint64(g), 10)
}
