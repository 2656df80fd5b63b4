// Package agentapi defines the protocol between entries and agents. Requests are
// JSON over HTTP; the tokens of a generation are a stream of frames.
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

// URL paths served by an agent.
const (
	PathGenerate = "/v1/generate"
	PathAttach   = "/v1/generations"
	PathDispatch = "/v1/actions/dispatch"
	PathResolve  = "/v1/actions/resolve"
	PathRecorded = "/v1/actions/recorded"
)

// HeartbeatInterval is the maximum time between two frames of a stream.
const HeartbeatInterval = 200 * time.Millisecond

// LoadInterval is the minimum time between two frames of a stream that carry the
// engine's load.
const LoadInterval = 500 * time.Millisecond

// MaxBodyBytes bounds the body of a request to an agent.
const MaxBodyBytes = 8 << 20

// Generate asks an agent to begin a generation. The response is a stream of
// frames that starts at position len(Prefix).
type Generate struct {
	// BackendServer is the server that the generation is for. Another agent may have got the address since, and refuses it.
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`

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
	// OrphanMillis is how long the generation runs without a reader, in
	// milliseconds. The agent has an upper limit for it.
	OrphanMillis int64 `json:"orphan_ms"`
}

// EngineRequest returns the request to the engine for this generation.
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

// Status is an agent's report on itself and its backend server.
type Status struct {
	Host          wigeonfork.HostID          `json:"host"`
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`
	Domain        wigeonfork.FailureDomain   `json:"failure_domain"`
	// Incarnation changes with each start of the agent's process.
	Incarnation string `json:"incarnation"`
	// MemberIncarnation changes with each start and each pause of the agent, and
	// when an entry reports that it has ended. Sequence increases with each status
	// within one MemberIncarnation.
	MemberIncarnation membership.Incarnation `json:"member_incarnation"`
	Sequence          uint64                 `json:"sequence"`
	// Changes counts the urgent changes of the status. If it differs from the
	// count in a frame's load, this status is out of date.
	Changes uint32 `json:"changes"`
	// Leaving is true once the agent drains. It then accepts no new requests.
	Leaving bool `json:"leaving"`
	// Plain is true if the backend server is a plain service.
	Plain bool `json:"plain,omitempty"`
	// EngineUp is false while the engine does not respond. It is always true for a
	// plain service.
	EngineUp bool `json:"engine_up"`
	// Load is the engine's last load report. It is empty for a plain service.
	Load backend.LoadReport `json:"load"`
	// Revision is the revision of the agent's current configuration.
	Revision wigeonfork.Revision `json:"revision"`
	// CacheEvents are the most recent cache events, oldest first. Events may be
	// repeated in later statuses or missing.
	CacheEvents []backend.CacheEvent `json:"cache_events,omitempty"`
}

// Dispatch asks an agent to run a claimed call at most once.
type Dispatch struct {
	Claim action.Claim `json:"claim"`
	Call  backend.Call `json:"call"`
}

// PathCall is appended to a generation's path. A GET returns the Generate call that
// began the generation, without its Prefix.
const PathCall = "/call"

// HeaderReader is the header with a reader number. The agent numbers the readers of
// a generation and returns the number with each stream. An entry sends its last
// number to attach again or to release, so that it cannot interfere with an entry
// that displaced it.
const HeaderReader = "X-Reader"

// GenerationPath returns the path of one generation.
func GenerationPath(id wigeonfork.RequestID, g wigeonfork.Generation) string {
	return PathAttach + "/" + url.PathEscape(string(id)) + "/" + strconv.FormatUint(uint64(g), 10)
}
