// Package query holds what reads an agent's state: status reports to entries
// and the state dump.
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

// engineQueryInterval is the time between two looks at the backend server.
const engineQueryInterval = 250 * time.Millisecond

// maxCacheEvents bounds the cache events that a status carries. A gap does no
// harm: what is believed of a cache decays.
const maxCacheEvents = 16

// engineQueryTimeout bounds a query to the backend server.
const engineQueryTimeout = time.Second

// ReporterOptions describe a Reporter.
type ReporterOptions struct {
	Host          wigeonfork.HostID
	Domain        wigeonfork.FailureDomain
	BackendServer wigeonfork.BackendServerID
	Incarnation   string
	Engine        backend.Engine
	Table         *session.Table
	// Actions is nil beside a model engine.
	Actions ActionStatus
	// Revision returns the revision of the configuration that the agent holds.
	Revision func() wigeonfork.Revision
	// HandOverAll gives up what the agent did in the incarnation that is over and
	// returns the number of generations.
	HandOverAll func() int
	Log         *telemetry.Logger
}

// ActionStatus tells of the actions of an agent.
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

// NewReporter returns a Reporter.
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

// Run observes the backend server until ctx ends and tells subscribers of each
// change that can't wait for their next poll.
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

// detectPause finds out whether the agent was paused. Entries have given it up then,
// so that it gives up what it did before.
func (r *Reporter) detectPause(now time.Time) {
	r.mu.Lock()
	paused := r.identity.Tick(now)
	r.mu.Unlock()
	if paused {
		r.endIncarnation("paused")
	}
}

// Refute takes in that an entry has given up an incarnation of this agent.
func (r *Reporter) Refute(_ context.Context, _ *peer.Session, refute membership.Refute) (peer.None, error) {
	r.mu.Lock()
	ended := r.identity.HandleRefute(time.Now(), refute)
	r.mu.Unlock()
	if ended {
		r.endIncarnation("refuted")
	}
	return peer.None{}, nil
}

func (r *Reporter) endIncarnation(reason string) {
	handedOver := r.options.HandOverAll()
	r.options.Log.Warn().Str("reason", reason).Int("generations", handedOver).Msg("incarnation_ended")
	r.signalChange()
}

func (r *Reporter) signalChange() {
	r.mu.Lock()
	r.status.Changes++
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// queryEngine asks the backend server for its load and cache events. It reports
// whether something changed that entries should not miss.
func (r *Reporter) queryEngine(ctx context.Context) bool {
	engine := r.options.Engine
	if engine == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	load, err := engine.Load(limited)
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

// nextStatus returns the status with the next heartbeat. The caller holds the lock.
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

// Subscribe returns the present status and has the peer told of each change
// that can't wait for its next poll.
func (r *Reporter) Subscribe(_ context.Context, s *peer.Session, _ peer.None) (agentapi.Status, error) {
	revision := r.options.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[s] = struct{}{}
	return r.nextStatus(revision), nil
}

// SetLeaving notes that the agent takes no new work and tells it at once.
func (r *Reporter) SetLeaving() {
	r.mu.Lock()
	r.identity.Leave()
	r.mu.Unlock()
	r.signalChange()
}

// MarkEngineDown notes that the engine was found dead, until it answers again.
func (r *Reporter) MarkEngineDown() {
	r.mu.Lock()
	up := r.status.EngineUp
	r.status.EngineUp = false
	r.mu.Unlock()
	if up {
		r.signalChange()
	}
}

// Load returns what heartbeat frames tell of the engine.
func (r *Reporter) Load() frame.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return frame.Load{
		Running: uint32(r.status.Load.Running),
		Waiting: uint32(r.status.Load.Waiting),
		Changes: r.status.Changes,
	}
}

// EngineIncarnation returns the engine's incarnation as last reported.
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
