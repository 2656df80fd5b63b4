// Package entry implements the daemon of an entry host. Callers use it over HTTP, peers and
// operators over the control connection.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/justinas/alice"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/configuration"
	"github.com/wigeonfork/wigeonfork/entry/command"
	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/entry/gate"
	"github.com/wigeonfork/wigeonfork/entry/query"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/moves"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template/store"
	"github.com/wigeonfork/wigeonfork/workpool"
)

// Options configure an entry.
type Options struct {
	Host    wigeonfork.HostID
	Domain  wigeonfork.FailureDomain
	Table   infra.Table
	Objects infra.Objects
	Weights infra.Weights
	Hosts   infra.HostList
	// HandleKey authenticates resume handles. All entries share it. See generation.MinKeyBytes.
	HandleKey   []byte
	Credentials peer.Credentials
	// Limits are the timeouts and retry limits of an answer.
	Limits generation.Limits
	// Policy configures the admission and the engine priority of each class.
	Policy admission.Policy
	// Account bounds what callers and peers make the entry hold. If it is nil, nothing bounds that.
	Account *intake.Account
	Log     *telemetry.Logger
	Metrics telemetry.Registry
	// DrainLimit bounds the time that a leaving entry waits for its requests.
	DrainLimit time.Duration
	// MoveSettle is the time needed to evaluate a version after its last load. A move whose
	// deadline leaves less time is refused.
	MoveSettle time.Duration
}

// Entry accepts requests of callers and relays their answers from agents.
type Entry struct {
	options     Options
	answers     *session.Table
	fleet       *fleet.Fleet
	gate        *gate.Gate
	peers       *peer.Pool
	config      *configuration.Keeper
	operators   *operator.Server
	evidence    *moves.EvidenceCollector
	controller  *moves.Controller
	generations *command.GenerationHandler
	actions     *command.ActionHandler
	executor    *action.Executor
	agents      *agentapi.Client
	pool        *workpool.Pool
	status      *query.Status
	control     *peer.Server
	server      *http.Server
	guard       *httpserver.Guard
	background  context.Context
	stop        context.CancelFunc
	wait        sync.WaitGroup
	gossip      *quarantineGossip
	// owner identifies this process start in leases.
	owner string
	// self is this entry's host record, with the addresses at which other entries reach it.
	self infra.Host
}

// sourceCheckInterval is the time between two checks for lost sources.
const sourceCheckInterval = 50 * time.Millisecond

// maxPeers bounds the connections to other entries.
const maxPeers = 32

// Sizes of the pool for background work that no caller waits for.
const (
	poolWorkers = 8
	poolQueue   = 4096
)

// New returns an entry. It fails if the handle key is too short.
func New(options Options) (*Entry, error) {
	sealer, err := generation.NewSealer(options.HandleKey)
	if err != nil {
		return nil, err
	}
	if options.Account == nil {
		options.Account = intake.NewAccount(intake.Limits{}, options.Log, options.Metrics)
	}
	background, stop := context.WithCancel(context.Background())
	e := &Entry{
		options:    options,
		owner:      string(options.Host) + "/" + uuid.NewString(),
		answers:    session.NewTable(),
		pool:       workpool.New(poolWorkers, poolQueue),
		agents:     agentapi.NewClient(options.Credentials.Peer),
		background: background,
		stop:       stop,
	}
	handshake := peer.Handshake{ID: string(options.Host), Role: peer.RolePeer, Credential: options.Credentials.Peer}
	e.initFleet(handshake)
	e.initConfiguration(handshake)
	e.initHandlers(sealer)
	e.status = &query.Status{Host: options.Host, Domain: options.Domain, Answers: e.answers, Fleet: e.fleet, Gate: e.gate, Configuration: e.config}
	e.gossip = newQuarantineGossip(e)
	e.control = peer.NewServer(options.Credentials, options.Account.Guard(intake.Peers))
	e.registerControl()
	e.server = httpserver.New(e.routes())
	e.guard = httpserver.NewGuard(options.Account.Guard(intake.Callers), httpserver.DefaultMaxHead)
	e.guard.Configure(e.server)
	return e, nil
}

// initFleet creates the fleet, the gate and the evidence.
func (e *Entry) initFleet(handshake peer.Handshake) {
	e.peers = peer.NewPool(handshake, maxPeers, nil)
	e.gate = gate.New(gate.Options{Seed: seedOf(e.options.Host), Policy: e.options.Policy, Metrics: e.options.Metrics})
	e.evidence = moves.NewEvidenceCollector(e.owner)
	e.fleet = fleet.New(fleet.Options{
		Domain:          e.options.Domain,
		EngineRestarted: e.evidence.EngineRestarted,
		Handshake:       handshake,
		Log:             e.options.Log,
		Metrics:         e.options.Metrics,
	})
}

// initConfiguration creates the keeper of the configuration, the operator server and the move
// controller. The fleet must exist.
func (e *Entry) initConfiguration(handshake peer.Handshake) {
	changes := store.New(e.options.Table, e.options.Objects, store.Options{})
	e.config = configuration.New(configuration.Options{
		Host:      e.options.Host,
		Domain:    e.options.Domain,
		Seed:      seedOf(e.options.Host),
		Reader:    changes,
		Handshake: handshake,
		Install:   e.fleet.Install,
		Log:       e.options.Log,
		Metrics:   e.options.Metrics,
	})
	e.operators = &operator.Server{
		Store:    changes,
		Keeper:   e.config,
		Weights:  e.options.Weights,
		Settle:   e.options.MoveSettle,
		Progress: e.moveStatus,
	}
	e.controller = moves.NewController(moves.Options{
		Host:       e.options.Host,
		Owner:      e.owner,
		Table:      e.options.Table,
		Store:      changes,
		Keeper:     e.config,
		Weights:    e.options.Weights,
		Servers:    &fleet.OrderClient{Fleet: e.fleet, Peers: e.peers},
		Candidates: e.fleet.Entries,
		Log:        e.options.Log,
		Metrics:    e.options.Metrics,
	})
}

// initHandlers creates the handlers of the caller API. The fleet and the configuration must exist.
func (e *Entry) initHandlers(sealer *generation.Sealer) {
	e.generations = &command.GenerationHandler{
		Configuration: e.config,
		Relayer: &command.Relayer{
			Fleet:    e.fleet,
			Agents:   e.agents,
			Answers:  e.answers,
			Sealer:   sealer,
			Gate:     e.gate,
			Policy:   e.options.Policy,
			Evidence: e.evidence,
			Limits:   e.options.Limits,
			Pool:     e.pool,
			Metrics:  e.options.Metrics,
			Log:      e.options.Log,
		},
	}
	e.executor = action.NewExecutor(action.Config{
		Table:      e.options.Table,
		Dispatcher: command.Dispatcher{Agents: e.agents},
		Limits:     action.DefaultLimits(),
	})
	e.actions = &command.ActionHandler{
		Executor:      e.executor,
		Fleet:         e.fleet,
		Configuration: e.config,
		Metrics:       e.options.Metrics,
		Log:           e.options.Log,
		Accept:        e.answers.AddAction,
	}
}

// seedOf returns a random seed that differs between hosts and is the same after a restart.
func seedOf(host wigeonfork.HostID) uint64 { return xxhash.Sum64String(string(host)) }

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.generations.Completions)
	mux.HandleFunc("POST /v1/chat/completions", e.generations.ChatCompletions)
	mux.HandleFunc("GET /v1/streams", e.generations.Resume)
	mux.HandleFunc("POST /v1/actions/{service}/{path...}", e.actions.Run)
	mux.HandleFunc("GET /v1/actions", e.actions.Lookup)
	mux.HandleFunc("POST /v1/action-keys", e.actions.NewKey)
	mux.HandleFunc("GET /healthz", e.health)
	return alice.New().Then(mux)
}

// health tells the load balancer whether to send new callers to this entry.
func (e *Entry) health(w http.ResponseWriter, _ *http.Request) {
	if e.status.Leaving() || !e.Ready(1) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) registerControl() {
	e.config.Register(e.control)
	e.operators.Register(e.control)
	peer.Handle(e.control, peer.MethodEvidence, peer.RolePeer, e.mergeEvidence)
	peer.Handle(e.control, peer.MethodQuarantine, peer.RolePeer, e.mergeQuarantine)
	peer.Handle(e.control, peer.MethodDump, peer.RoleOperator, e.status.Dump)
	peer.Handle(e.control, peer.MethodDrain, peer.RoleOperator, e.drainOnRequest)
}

// Start serves on the two listeners until Stop. It returns at once.
func (e *Entry) Start(serve, control net.Listener) {
	e.self = infra.Host{
		ID: e.options.Host, Role: infra.RoleEntry, State: infra.HostLive, Domain: e.options.Domain,
		ServeAddress: serve.Addr().String(), ControlAddress: control.Addr().String(),
	}
	e.wait.Go(func() { httpserver.Serve(e.server, e.guard.Listener(serve), e.options.Log) })
	e.wait.Go(func() {
		if err := e.control.Serve(control); err != nil {
			e.options.Log.Error().Err(err).Msg("control_ended")
		}
	})
	e.wait.Go(func() { e.fleet.Run(e.background) })
	e.config.SetSelf(e.self)
	e.wait.Go(func() { e.config.Run(e.background) })
	e.wait.Go(func() { configuration.WatchHosts(e.background, e.options.Hosts, e.options.Log, e.applyHosts) })
	e.wait.Go(e.checkSources)
	e.controller.SetAddress(e.self.ControlAddress)
	e.wait.Go(func() { e.controller.Run(e.background) })
	e.wait.Go(e.reportEvidence)
	e.wait.Go(e.housekeeping)
	e.wait.Go(func() { e.gate.Run(e.background) })
	e.wait.Go(e.syncGate)
	e.options.Log.Info().Str("serve", serve.Addr().String()).Str("control", control.Addr().String()).Msg("entry_started")
}

func (e *Entry) applyHosts(hosts []infra.Host, asOf time.Time) {
	e.fleet.ApplyHosts(time.Now(), hosts, asOf)
	e.config.SetPeers(hosts)
}

func (e *Entry) checkSources() {
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if n := e.answers.Check(now); n > 0 {
				telemetry.Counter(e.options.Metrics, "relay.suspects").Inc(int64(n))
			}
		case <-e.background.Done():
			return
		}
	}
}

// Stop ends the entry at once. It does not drain.
func (e *Entry) Stop() {
	e.stop()
	e.control.Close()
	_ = e.server.Close()
	e.wait.Wait()
	e.fleet.Close()
	e.pool.Close()
	e.peers.Close()
	e.config.Close()
	e.agents.Close()
}

// Ready reports whether the entry has a configuration and at least servers usable backend servers.
// If engines are among them, it also needs admission capacity.
func (e *Entry) Ready(servers int) bool {
	if e.config.Snapshot() == nil || e.fleet.Usable() < servers {
		return false
	}
	admission, _ := e.gate.Stats()
	_, engines, _ := e.fleet.Capacity()
	return engines == 0 || admission.Capacity > 0
}
