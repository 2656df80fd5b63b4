// Package query reports an agent's state: status reports for entries and the
// state dump for operators.
package query

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action/ledger"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// engineQueryInterval is the time between two queries of the engine's state.
const engineQueryInterval = 250 * time.Millisecond

// maxCacheEvents bounds the cache events in a status. Dropped events do no harm,
// because an entry's view of a cache decays.
const maxCacheEvents = 16

// engineQueryTimeout bounds one query of the engine's load and cache events.
const engineQueryTimeout = time.Second

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Host          wigeonfork.HostID
	Domain        wigeonfork.FailureDomain
	BackendServer wigeonfork.BackendServerID
	Incarnation   string
	Engine        backend.Engine
	Table         *session.Table
	// Actions is nil if the backend server is a model engine.
	Actions ActionStatus
	// Revision returns the revision of the agent's current configuration.
	Revision func() wigeonfork.Revision
	// HandOverAll hands over all generations of the incarnation that ended and
	// returns their number.
	HandOverAll func() int
	Log         *telemetry.Logger
}

// ActionStatus provides a summary of an agent's actions.
type ActionStatus interface {
	Status() ledger.Status
}

// Reporter reports the state of an agent and its backend server.
type Reporter struct {
	options ReporterOptions

	mu          sync.Mutex
	identity    *membership.Identity
	status      agentapi.Status
	cacheCursor uint64
	subscribers map[*peer.Session]struct{}
	changed     chan struct{}
}

// NewReporter returns a Reporter with a new member incarnation. Run must be
// called to query the engine and to notify subscribers.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{
		options:  options,
		identity: membership.NewIdentity(options.BackendServer, time.Now(), 0),
		status: agentapi.Status{
			Host:          options.Host,
			BackendServer: options.BackendServer,
			Domain:        options.Domain,
			Incarnation:   options.Incarnation,
			EngineUp:      options.Engine == nil,
			Plain:         options.Engine == nil,
		},
		subscribers: map[*peer.Session]struct{}{},
		changed:     make(chan struct{}, 1),
	}
}

// Run queries the engine periodically until ctx ends. It notifies subscribers of
// changes that are too urgent to wait for their next poll.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(engineQueryInterval)
	defer ticker.Stop()
	for {
		r.detectPause(time.Now())
		if r.queryEngine(ctx) {
			r.signalChange()
		}
		select {
		case <-ticker.C:
		case <-r.changed:
			r.publish(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// detectPause ends the incarnation if the agent was paused. Entries may have
// declared the agent unresponsive in the meantime.
func (r *Reporter) detectPause(now time.Time) {
	r.mu.Lock()
	paused := r.identity.Tick(now)
	r.mu.Unlock()
	if paused {
		r.endIncarnation("paused")
	}
}

// Refute handles an entry's message that an incarnation of this agent has ended.
func (r *Reporter) Refute(_ context.Context, _ *peer.Session, refute membership.Refute) (peer.None, error) {
	r.mu.Lock()
	ended := r.identity.HandleRefute(time.Now(), refute)
	r.mu.Unlock()
	if ended {
		r.endIncarnation("refuted")
	}
	return peer.None{}, nil
}

// endIncarnation hands over all generations and notifies subscribers.
func (r *Reporter) endIncarnation(reason string) {
	handedOver := r.options.HandOverAll()
	r.options.Log.Warn().Str("reason", reason).Int("generations", handedOver).Msg("incarnation_ended")
	r.signalChange()
}

// signalChange counts a change of the status and wakes Run to publish it.
func (r *Reporter) signalChange() {
	r.mu.Lock()
	r.status.Changes++
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// queryEngine queries the engine's load and cache events. It reports whether the
// engine's availability or its loaded versions changed.
func (r *Reporter) queryEngine(ctx context.Context) bool {
	engine := r.options.Engine
	if engine == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	load, err := engine.Load(limited)
	if err == nil {
		r.checkRestart(load.Incarnation)
	}
	events := r.fetchCacheEvents(limited, err == nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	up := err == nil
	changed := up != r.status.EngineUp || up && !slices.Equal(load.Versions, r.status.Load.Versions)
	r.status.EngineUp = up
	r.status.CacheEvents = append(r.status.CacheEvents, events...)
	if excess := len(r.status.CacheEvents) - maxCacheEvents; excess > 0 {
		r.status.CacheEvents = slices.Delete(r.status.CacheEvents, 0, excess)
	}
	if up {
		r.status.Load = load
	}
	return changed
}

// checkRestart discards the cache events of an engine that has restarted. The new incarnation
// numbers its events from the start.
func (r *Reporter) checkRestart(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Load.Incarnation != incarnation {
		r.cacheCursor = 0
		r.status.CacheEvents = nil
	}
}

func (r *Reporter) fetchCacheEvents(ctx context.Context, up bool) []backend.CacheEvent {
	if !up || !r.options.Engine.Capabilities().CacheEvents {
		return nil
	}
	r.mu.Lock()
	since := r.cacheCursor
	r.mu.Unlock()
	events, err := r.options.Engine.CacheEvents(ctx, since)
	if err != nil || len(events) == 0 {
		return nil
	}
	r.mu.Lock()
	r.cacheCursor = events[len(events)-1].Sequence
	r.mu.Unlock()
	return events
}

func (r *Reporter) publish(ctx context.Context) {
	status, subscribers := r.prepareNotification()
	for _, subscriber := range subscribers {
		select {
		case <-subscriber.Done():
			r.unsubscribe(subscriber)
			continue
		default:
		}
		if subscriber.Notify(ctx, peer.MethodStatus, status) != nil {
			r.unsubscribe(subscriber)
		}
	}
}

func (r *Reporter) prepareNotification() (agentapi.Status, []*peer.Session) {
	revision := r.options.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*peer.Session, 0, len(r.subscribers))
	for subscriber := range r.subscribers {
		all = append(all, subscriber)
	}
	return r.nextStatus(revision), all
}

// nextStatus returns the status with the next heartbeat's incarnation and
// sequence number. The caller holds r.mu.
func (r *Reporter) nextStatus(revision wigeonfork.Revision) agentapi.Status {
	heartbeat := r.identity.NextHeartbeat()
	r.status.MemberIncarnation = heartbeat.Incarnation
	r.status.Sequence = heartbeat.Sequence
	r.status.Leaving = heartbeat.Leaving
	r.status.Revision = revision
	status := r.status
	status.CacheEvents = slices.Clone(r.status.CacheEvents)
	return status
}

func (r *Reporter) unsubscribe(subscriber *peer.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, subscriber)
}

// Subscribe returns the current status and registers the peer for notifications
// of urgent changes.
func (r *Reporter) Subscribe(_ context.Context, s *peer.Session, _ peer.None) (agentapi.Status, error) {
	revision := r.options.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[s] = struct{}{}
	return r.nextStatus(revision), nil
}

// SetLeaving marks the agent as leaving and notifies subscribers at once.
func (r *Reporter) SetLeaving() {
	r.mu.Lock()
	r.identity.Leave()
	r.mu.Unlock()
	r.signalChange()
}

// MarkEngineDown marks the engine as down until it responds to a query again.
func (r *Reporter) MarkEngineDown() {
	r.mu.Lock()
	up := r.status.EngineUp
	r.status.EngineUp = false
	r.mu.Unlock()
	if up {
		r.signalChange()
	}
}

// Load returns the engine's last reported load for the frames of a stream.
func (r *Reporter) Load() frame.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return frame.Load{
		Running: uint32(r.status.Load.Running),
		Waiting: uint32(r.status.Load.Waiting),
		Changes: r.status.Changes,
	}
}

// EngineIncarnation returns the engine incarnation of the last load report.
func (r *Reporter) EngineIncarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Load.Incarnation
}

// Dump is the state of an agent. It holds no prompts, answers or secrets.
type Dump struct {
	Status      agentapi.Status   `json:"status"`
	Subscribers int               `json:"subscribers"`
	Generations []session.Summary `json:"generations"`
	Actions     *ledger.Status    `json:"actions,omitempty"`
}

// Dump returns the state of the agent.
func (r *Reporter) Dump(context.Context, *peer.Session, peer.None) (Dump, error) {
	r.mu.Lock()
	dump := Dump{Status: r.status, Subscribers: len(r.subscribers)}
	dump.Status.CacheEvents = slices.Clone(r.status.CacheEvents)
	r.mu.Unlock()
	for _, s := range r.options.Table.All() {
		dump.Generations = append(dump.Generations, s.Summary())
	}
	if r.options.Actions != nil {
		status := r.options.Actions.Status()
		dump.Actions = &status
	}
	return dump, nil
}
