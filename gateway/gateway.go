package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/justinas/alice"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// Gateway is an entry that sends requests directly to backend servers.
type Gateway struct {
	options      Options
	bounds       atomic.Pointer[Bounds]
	config       *configState
	fleet        *fleet
	pool         *upstream.Pool
	memory       *memquota.Quota
	retryBudgets *retryBudgets
	crashes      *crashGuard
	trials       *trials
	partGuard    *partGuard
	limits       *serverLimits
	pauses       *serverPauses
	waiting      *waitingRequests
	moves        *versionMoves
	gossip       *gossiper
	// livePeers is the number of other live gateways, as of the last heartbeat.
	livePeers atomic.Int64
	surveys   *surveyor
	server    *http.Server
	// callerConns tracks the idle connections of server.
	callerConns *callerConnections
	// callerGuard bounds what callers make the gateway hold, and readyGuard what the load balancer does.
	callerGuard *httpserver.Guard
	ready       *http.Server
	readyGuard  *httpserver.Guard

	configFollower  *follower
	serversFollower *follower
	servers         serversState
	// storeLost is set if the last call for the configuration failed.
	storeLost atomic.Bool

	background context.Context
	stop       context.CancelFunc
	wait       sync.WaitGroup
	// warm opens once the configuration and the servers have been read.
	warm *latch
	// restored opens once the stored quarantines have been read.
	restored *latch

	// stopping is when the gateway was asked to stop, as a freshness.Instant, or 0.
	stopping atomic.Int64
	// refusing is set once a leaving gateway refuses all new requests.
	refusing atomic.Bool
	// ending is done once the plain requests in progress are to be answered at once, by answerNow.
	ending    context.Context
	answerNow context.CancelFunc
	// active is the number of requests in progress.
	active atomic.Int64
}

// New returns a gateway that is not started.
func New(options Options) *Gateway {
	background, stop := context.WithCancel(context.Background())
	g := &Gateway{options: options, background: background, stop: stop, warm: newLatch(warmReads), restored: newLatch(restoredReads)}
	if options.Account == nil {
		options.Account = intake.NewAccount(intake.Limits{}, options.Log, options.Metrics)
	}
	g.memory = options.Account.Memory()
	if options.Quarantines == nil {
		g.restored.mark(restoredRequests)
		g.restored.mark(restoredParts)
	}
	g.ending, g.answerNow = context.WithCancel(background)
	g.bounds.Store(&options.Bounds)
	opened := telemetry.Counter(options.Metrics, "upstream.connections")
	g.pool = upstream.NewPool(upstream.Options{MaxIdleTotal: options.Account.IdleConnections(), OnOpen: func() { opened.Inc(1) }})
	g.crashes = newCrashGuard(g)
	g.trials = newTrials(g)
	g.fleet = newFleet(&options, g.pool.CloseIdle)
	g.partGuard = newPartGuard(g)
	g.fleet.onLost = func(now time.Time, entry directory.Entry) {
		g.crashes.serverLost(now, entry)
		g.partGuard.serverLost(now, entry)
	}
	g.fleet.onReturned = func(now time.Time, entry directory.Entry) {
		g.crashes.serverReturned(now, entry)
		g.partGuard.serverReturned(now, entry)
	}
	g.moves = newVersionMoves(g)
	g.fleet.versions = g.moves
	g.fleet.probe = func(entry directory.Entry) { go g.probe(entry) }
	g.fleet.identify = func(entry directory.Entry) { go g.checkRecovery(entry) }
	if options.PeerConn != nil && options.Registry != nil {
		g.gossip = newGossiper(g)
	}
	g.limits = newServerLimits(g)
	g.pauses = newServerPauses(g)
	g.waiting = newWaitingRequests(options.Metrics)
	g.fleet.onEnded = func(id serverID) {
		g.limits.forget(id)
		g.pauses.forget(id)
	}
	g.fleet.isLimited = g.limits.isLimited
	g.fleet.announce = g.gossip.enqueue
	g.fleet.shareCapacity = g.gossip.enqueueCapacity
	g.config = newConfigState(&options)
	g.configFollower = newFollower(configurationWait(&options.Bounds))
	g.serversFollower = newFollower(serversInterval(&options.Bounds))
	g.retryBudgets = newRetryBudgets(time.Now(), options.Bounds)
	if g.gossip == nil {
		g.retryBudgets.setEntries(1, 1)
		g.moves.setEntries(1)
	}
	g.surveys = newSurveyor(g)
	g.server = httpserver.New(alice.New().ThenFunc(g.serve))
	g.callerConns = newCallerConnections()
	g.callerGuard = httpserver.NewGuard(options.Account.Guard(intake.Callers), g.maxHead)
	g.callerConns.configure(g.server)
	g.callerGuard.Configure(g.server)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", g.serveReady)
	g.ready = httpserver.New(mux)
	g.readyGuard = httpserver.NewGuard(options.Account.Guard(intake.Balancer), httpserver.DefaultMaxHead)
	g.readyGuard.Configure(g.ready)
	return g
}

// seedOf derives a seed from the host id, so that the random choices of hosts differ.
func seedOf(host wigeonfork.HostID) uint64 { return xxhash.Sum64String(string(host)) }

// SetBounds replaces the bounds of a running gateway.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.configFollower.setInterval(configurationWait(&b))
	g.serversFollower.setInterval(serversInterval(&b))
	g.retryBudgets.setBounds(time.Now(), b)
	g.moves.setBounds(&b)
}

// Start serves callers and the load balancer's readiness checks until Stop. It does
// not block.
func (g *Gateway) Start(callers, ready net.Listener) {
	g.wait.Go(func() { httpserver.Serve(g.server, g.callerGuard.Listener(callers), g.options.Log) })
	g.wait.Go(func() { httpserver.Serve(g.ready, g.readyGuard.Listener(ready), g.options.Log) })
	g.wait.Go(g.followConfiguration)
	g.wait.Go(g.followServers)
	g.wait.Go(g.sweep)
	g.wait.Go(g.expireCallerConnections)
	if g.options.Moves != nil {
		g.wait.Go(g.moves.follow)
		g.wait.Go(g.moves.writeStates)
	}
	if g.options.Quarantines != nil {
		g.wait.Go(g.crashes.saveQuarantines)
		g.wait.Go(g.crashes.restoreQuarantines)
		g.wait.Go(g.partGuard.saveQuarantines)
		g.wait.Go(g.partGuard.restoreQuarantines)
	}
	if g.gossip != nil {
		g.wait.Go(g.gossip.register)
		g.wait.Go(g.gossip.heartbeat)
		g.wait.Go(g.gossip.receive)
	}
	g.options.Log.Info().Str("callers", callers.Addr().String()).Str("ready", ready.Addr().String()).
		Str("domain", string(g.options.Domain)).Msg("gateway_started")
}

// Stop ends the gateway at once.
func (g *Gateway) Stop() {
	g.stop()
	// Listeners and connections that fail to close end with the process.
	_ = g.server.Close()
	_ = g.ready.Close()
	if g.gossip != nil {
		_ = g.gossip.conn.Close()
	}
	g.wait.Wait()
	g.pool.Close()
}

// The reads that a gateway must complete before it is warm.
const (
	warmConfiguration = iota
	warmServers
	warmReads
)

// The reads that restore the stored quarantines.
const (
	restoredRequests = iota
	restoredParts
	restoredReads
)

// serveReady answers a readiness check of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.unready(); reason != "" {
		telemetry.Counter(g.options.Metrics, "ready.refused_"+reason).Inc(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready returns the reason for which the gateway takes no new callers, or an empty
// string.
func (g *Gateway) unready() string {
	if _, leaving := g.leaving(); leaving {
		return "leaving"
	}
	table := g.config.table()
	if table == nil {
		return "no_configuration"
	}
	if g.fleet.aliveCount() == 0 {
		return "no_servers"
	}
	bounds := g.bounds.Load()
	if behind, isBehind := g.config.behind(); isBehind && behind > bounds.ApplyLimit {
		return "configuration_replaced"
	}
	if table.RequiresKey() && bounds.FailClosed {
		age, known := g.config.age()
		if !known || age > unreadyAge(bounds) {
			return "stale_configuration"
		}
	}
	return ""
}

// unreadyAge is the age of the configuration above which the gateway is not ready. It
// is at most the age at which keys are refused, so that callers go to another entry
// before their keys are refused here.
func unreadyAge(b *Bounds) time.Duration {
	return min(b.RevokeLimit*6/10, b.RevokeLimit-revokeMargin)
}
