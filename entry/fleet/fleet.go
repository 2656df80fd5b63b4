// Package fleet holds an entry's view of the backend servers: the addresses of their agents, their
// reported status, and the choice of a server for a request.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/workpool"
)

// Options configure a fleet.
type Options struct {
	Domain wigeonfork.FailureDomain
	// EngineRestarted is called for each engine that restarted. It must not call the fleet.
	EngineRestarted func(wigeonfork.BackendServerID)
	// Handshake authenticates the entry to agents.
	Handshake peer.Handshake
	Log       *telemetry.Logger
	Metrics   telemetry.Registry
}

// Fleet tracks the agents and chooses servers for requests. It is safe for concurrent use. Its lock
// is not held during I/O.
type Fleet struct {
	options Options

	mu       sync.Mutex
	router   *routing.Router
	snapshot *template.Snapshot
	servers  map[wigeonfork.BackendServerID]*server
	// entries are the known entries, including this one if it is listed.
	entries map[wigeonfork.HostID]infra.Host
	// missedReads counts the reads of the host list since an entry was last in it.
	missedReads map[wigeonfork.HostID]int

	tracker *membership.Tracker
	pool    *workpool.Pool
	peers   *peer.Pool
}

// server is one backend server with its agent.
type server struct {
	host    infra.Host
	status  agentapi.Status
	state   routing.State
	streams int
	// unreachable is set if the last poll could not connect to the agent.
	unreachable bool
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	f := &Fleet{
		options:     options,
		router:      routing.New(routing.Options{Seed: xxhash.Sum64String(options.Handshake.ID), Domain: options.Domain}),
		servers:     map[wigeonfork.BackendServerID]*server{},
		entries:     map[wigeonfork.HostID]infra.Host{},
		missedReads: map[wigeonfork.HostID]int{},
		tracker:     membership.NewTracker(membership.Options{Entry: wigeonfork.HostID(options.Handshake.ID)}),
		pool:        workpool.New(poolWorkers, poolQueue),
	}
	f.peers = peer.NewPool(options.Handshake, maxConnections, f.handleNotification)
	return f
}

// Placement is the server on which an attempt runs.
type Placement struct {
	Server wigeonfork.BackendServerID
	Host   wigeonfork.HostID
	Domain wigeonfork.FailureDomain
	// Load is the load level of the server when it was chosen.
	Load rollout.LoadLevel
	// Agent is the address at which the server's agent serves entries.
	Agent string
	// Incarnation is the incarnation of the agent's process.
	Incarnation string
	// ExpectedWait is the predicted time to the first token.
	ExpectedWait   time.Duration
	work           routing.Work
	dispatchedAt   time.Time
	firstTokenSeen bool
	// ExpectedGap is the expected inter-token time of the server.
	ExpectedGap       time.Duration
	memberIncarnation membership.Incarnation
	lastHeartbeatAt   time.Time
}

// Query describes the request for which Choose selects a server. Avoid lists servers that are
// chosen only if there is no other, such as those that already failed the request. Model, Adapter
// and Prompt are empty for an action.
type Query struct {
	Route     *template.Route
	Model     wigeonfork.Model
	Version   wigeonfork.Version
	Class     wigeonfork.Class
	Adapter   string
	Prompt    string
	MaxTokens uint32
	Avoid     []wigeonfork.BackendServerID
	// Resume marks the continuation of an interrupted answer.
	Resume bool
}

// maxPrefixes bounds the prefixes of a prompt that are looked up in the servers' caches.
const maxPrefixes = 64

// prefixes returns the prefixes of the prompt, hashed as in cache events.
func (q *Query) prefixes() []routing.Prefix {
	hashes := httpbackend.PrefixHashes(q.Model, q.Version, q.Adapter, q.Prompt)
	hashes = hashes[:min(len(hashes), maxPrefixes)]
	prefixes := make([]routing.Prefix, 0, len(hashes))
	for i, hash := range hashes {
		prefixes = append(prefixes, routing.Prefix{Hash: hash, Tokens: uint32(i+1) * httpbackend.PrefixBlockTokens})
	}
	return prefixes
}

// promptBytesPerToken is the usual length of a prompt token.
const promptBytesPerToken = 4

// Choose selects a server for a request and charges the server with it. Finished or Failed must
// follow.
func (f *Fleet) Choose(now time.Time, q Query) (*Placement, error) {
	prefixes := q.prefixes()
	f.mu.Lock()
	defer f.mu.Unlock()
	promptTokens := uint32(len(q.Prompt)/promptBytesPerToken + 1)
	decision, err := f.router.Choose(now, routing.Request{
		Workspace:    q.Route.Workspace,
		Model:        wigeonfork.Model(q.Route.Deployment),
		Version:      q.Version,
		Adapter:      q.Adapter,
		Class:        q.Class,
		Prefixes:     prefixes,
		PromptTokens: promptTokens,
		MaxTokens:    q.MaxTokens,
		Avoid:        q.Avoid,
		Resume:       q.Resume,
	})
	if err != nil {
		f.pollIdleServers(q.Route)
		return nil, err
	}
	s, ok := f.servers[decision.ID]
	if !ok {
		return nil, problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepRoute, "backend server %s has no agent", decision.ID)
	}
	work := routing.Work{Class: q.Class, Prefixes: prefixes, PromptTokens: promptTokens, MaxTokens: q.MaxTokens}
	f.router.Started(now, decision.ID, work)
	s.streams++
	return &Placement{
		Server:            decision.ID,
		Host:              s.host.ID,
		Domain:            s.host.Domain,
		Load:              rollout.LevelOf(s.status.Load.Running, s.status.Load.Slots),
		Agent:             s.host.ServeAddress,
		Incarnation:       s.status.Incarnation,
		ExpectedWait:      decision.ExpectedWait,
		work:              work,
		dispatchedAt:      now,
		memberIncarnation: s.status.MemberIncarnation,
		ExpectedGap:       f.router.ExpectedGap(now, decision.ID),
	}, nil
}

// Progress records tokens that arrived from p, gap after the previous ones.
func (f *Fleet) Progress(now time.Time, p *Placement, tokens int, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.firstTokenSeen {
		p.firstTokenSeen = true
		f.router.FirstToken(now, p.Server, routing.FirstToken{Wait: now.Sub(p.dispatchedAt), PromptTokens: p.work.PromptTokens})
		return
	}
	f.router.Progress(now, p.Server, tokens, gap)
}

// Finished releases the load of a finished request.
func (f *Fleet) Finished(now time.Time, p *Placement, tokens uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decrementStreams(p)
	f.router.Finished(now, p.Server, p.work, routing.Result{Tokens: tokens, Duration: now.Sub(p.dispatchedAt)})
}

// Failed releases the load of a request that its server did not finish.
func (f *Fleet) Failed(now time.Time, p *Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decrementStreams(p)
	f.router.Failed(now, p.Server, p.work)
}

func (f *Fleet) decrementStreams(p *Placement) {
	if s, ok := f.servers[p.Server]; ok && s.streams > 0 {
		s.streams--
	}
}

// Suspect polls a server's agent at once. If engineDead is set, the agent reported a dead engine,
// and the server gets no new requests until its next status.
func (f *Fleet) Suspect(now time.Time, id wigeonfork.BackendServerID, engineDead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if engineDead {
		s.status.EngineUp = false
		f.updateState(now, s)
	}
	f.poll(id)
}

// MarkUnhealthy records a slow or stalled stream on a server whose agent is live. The server gets
// few new requests until a stream on it is healthy again.
func (f *Fleet) MarkUnhealthy(now time.Time, id wigeonfork.BackendServerID, health routing.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.MarkUnhealthy(now, id, health)
}

func (f *Fleet) setState(now time.Time, s *server, state routing.State) {
	if s.state == state {
		return
	}
	s.state = state
	f.router.SetState(now, s.host.BackendServer, state)
	f.options.Log.Info().Str("backend_server", string(s.host.BackendServer)).
		Str("state", state.String()).Msg("backend_server_state")
}
