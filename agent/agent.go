// Package agent implements the daemon that runs beside one backend server. All
// access to the backend server goes through its agent. Entries use HTTP; peers
// and operators use the control connection.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/agent/command"
	"github.com/wigeonfork/wigeonfork/agent/query"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/configuration"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// Options configures an Agent. Exactly one of Engine and Service must be set.
type Options struct {
	Host          wigeonfork.HostID
	Domain        wigeonfork.FailureDomain
	BackendServer wigeonfork.BackendServerID
	// Engine is the model engine beside the agent, or nil for a plain service.
	Engine backend.Engine
	// Service is the plain service beside the agent, or nil for an engine.
	Service     backend.Service
	Table       infra.Table
	Objects     infra.Objects
	Hosts       infra.HostList
	Credentials peer.Credentials
	// Account bounds what entries and peers make the agent hold. If it is nil, nothing bounds that.
	Account *intake.Account
	Log     *telemetry.Logger
	Metrics telemetry.Registry
	// DrainLimit is the maximum time that a draining agent waits for its
	// generations and actions.
	DrainLimit time.Duration
	// ResumeHold is how long a draining agent keeps an answer after it ended, if
	// its end was sent. It should exceed the inactivity timeout after which a
	// caller tries another entry. 0 keeps no such answer.
	ResumeHold time.Duration
}

// Agent serves one backend server and reports its state.
type Agent struct {
	options     Options
	incarnation action.Incarnation
	sessions    *session.Table
	generations *command.Generations
	actions     *command.Actions
	config      *configuration.Keeper
	status      *query.Reporter
	control     *peer.Server
	server      *http.Server
	guard       *httpserver.Guard
	background  context.Context
	stop        context.CancelFunc
	wait        sync.WaitGroup
}

// reapInterval is the time between two scans for orphaned and expired sessions.
const reapInterval = 250 * time.Millisecond

// New returns an Agent that is not started. It fails unless exactly one of
// Engine and Service is set.
func New(options Options) (*Agent, error) {
	if (options.Engine == nil) == (options.Service == nil) {
		return nil, errors.New("an agent needs either an engine or a plain service")
	}
	if options.Account == nil {
		options.Account = intake.NewAccount(intake.Limits{}, options.Log, options.Metrics)
	}
	background, stop := context.WithCancel(context.Background())
	a := &Agent{
		options:     options,
		incarnation: action.NewIncarnation(),
		sessions:    session.NewTable(),
		background:  background,
		stop:        stop,
	}
	a.initExecution()
	a.initConfiguration()
	a.initStatus()
	a.control = peer.NewServer(options.Credentials, options.Account.Guard(intake.Peers))
	a.registerControl()
	a.server = httpserver.New(a.routes())
	a.guard = httpserver.NewGuard(options.Account.Guard(intake.Entries), httpserver.DefaultMaxHead)
	a.guard.Configure(a.server)
	return a, nil
}

// initExecution creates the components that run generations and actions.
func (a *Agent) initExecution() {
	a.generations = &command.Generations{
		Server:     a.options.BackendServer,
		Engine:     a.options.Engine,
		Table:      a.sessions,
		Metrics:    a.options.Metrics,
		Log:        a.options.Log,
		Background: a.background,
		Deaths: &command.Deaths{
			Server:      a.options.BackendServer,
			Incarnation: string(a.incarnation),
			Table:       a.sessions,
		},
	}
	if a.options.Service != nil {
		recorder := action.NewExecutor(action.Config{Table: a.options.Table, Limits: action.DefaultLimits()})
		a.actions = command.NewActions(a.options.Service, recorder, a.incarnation, a.background, a.options.Log, a.options.Metrics)
	}
}

func (a *Agent) initConfiguration() {
	a.config = configuration.New(configuration.Options{
		Host:      a.options.Host,
		Domain:    a.options.Domain,
		Seed:      xxhash.Sum64String(string(a.options.Host)),
		Reader:    store.New(a.options.Table, a.options.Objects, store.Options{}),
		Handshake: peer.Handshake{ID: string(a.options.Host), Role: peer.RolePeer, Credential: a.options.Credentials.Peer},
		Install:   func(*template.Snapshot) {},
		Log:       a.options.Log,
		Metrics:   a.options.Metrics,
	})
}

// initStatus creates the status reporter and connects the generations to it. It
// must be called after initExecution and initConfiguration.
func (a *Agent) initStatus() {
	reporter := query.ReporterOptions{
		Host:          a.options.Host,
		Domain:        a.options.Domain,
		BackendServer: a.options.BackendServer,
		Incarnation:   string(a.incarnation),
		Engine:        a.options.Engine,
		Table:         a.sessions,
		Revision:      a.config.Revision,
		HandOverAll:   a.generations.HandOverAll,
		Log:           a.options.Log,
	}
	if a.actions != nil {
		reporter.Actions = a.actions
	}
	a.status = query.NewReporter(reporter)
	a.generations.EngineIncarnation = a.status.EngineIncarnation
	a.generations.MarkEngineDown = a.status.MarkEngineDown
	a.generations.Load = a.status.Load
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	if a.options.Engine != nil {
		mux.HandleFunc("POST "+agentapi.PathGenerate, a.generations.Begin)
		mux.HandleFunc("GET "+agentapi.PathAttach+"/{request}/{generation}", a.generations.Attach)
		mux.HandleFunc("GET "+agentapi.PathAttach+"/{request}/{generation}"+agentapi.PathCall, a.generations.Call)
		mux.HandleFunc("DELETE "+agentapi.PathAttach+"/{request}/{generation}", a.generations.Release)
	}
	if a.actions != nil {
		mux.HandleFunc("POST "+agentapi.PathDispatch, a.actions.Dispatch)
		mux.HandleFunc("POST "+agentapi.PathResolve, a.actions.Resolve)
		mux.HandleFunc("POST "+agentapi.PathRecorded, a.actions.Acknowledge)
	}
	return alice.New(httpserver.RequireBearer(a.options.Credentials.Peer)).Then(mux)
}

func (a *Agent) registerControl() {
	a.config.Register(a.control)
	if a.options.Engine != nil {
		orders := command.NewOrders(a.options.Engine, a.options.Table, a.options.Log, a.options.Metrics)
		peer.Handle(a.control, peer.MethodOrder, peer.RolePeer, orders.Order)
	}
	peer.Handle(a.control, peer.MethodStatusSubscribe, peer.RolePeer, a.status.Subscribe)
	peer.Handle(a.control, peer.MethodRefute, peer.RolePeer, a.status.Refute)
	peer.Handle(a.control, peer.MethodDump, peer.RoleOperator, a.status.Dump)
	peer.Handle(a.control, peer.MethodDrain, peer.RoleOperator, a.drainOnRequest)
}

// Start serves on the two listeners until Stop is called. It does not block.
func (a *Agent) Start(serve, control net.Listener) {
	a.wait.Go(func() { httpserver.Serve(a.server, a.guard.Listener(serve), a.options.Log) })
	a.wait.Go(func() { a.logError("control_ended", a.control.Serve(control)) })
	a.wait.Go(func() { a.status.Run(a.background) })
	a.wait.Go(a.reapSessions)
	a.config.SetSelf(infra.Host{
		ID: a.options.Host, Role: infra.RoleAgent, State: infra.HostLive, Domain: a.options.Domain,
		ServeAddress: serve.Addr().String(), ControlAddress: control.Addr().String(), BackendServer: a.options.BackendServer,
	})
	a.wait.Go(func() { a.config.Run(a.background) })
	a.wait.Go(func() { configuration.WatchHosts(a.background, a.options.Hosts, a.options.Log, a.applyHosts) })
	if a.actions != nil {
		a.wait.Go(func() { a.actions.RunRecorder(a.background) })
	}
	a.options.Log.Info().Str("serve", serve.Addr().String()).Str("control", control.Addr().String()).
		Str("backend_server", string(a.options.BackendServer)).Msg("agent_started")
}

func (a *Agent) applyHosts(hosts []infra.Host, _ time.Time) { a.config.SetPeers(hosts) }

func (a *Agent) logError(event string, err error) {
	if err != nil {
		a.options.Log.Error().Err(err).Msg(event)
	}
}

func (a *Agent) reapSessions() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if n := a.sessions.Reap(now); n > 0 {
				telemetry.Counter(a.options.Metrics, "agent.orphans_cancelled").Inc(int64(n))
			}
		case <-a.background.Done():
			return
		}
	}
}

// Stop stops the agent without draining and waits until its generations and
// actions have ended.
func (a *Agent) Stop() {
	a.stop()
	a.control.Close()
	_ = a.server.Close()
	a.wait.Wait()
	a.config.Close()
	a.generations.Wait()
	if a.actions != nil {
		a.actions.Wait()
	}
}
