// Package query holds what reads an agent's state: status reports to entries
// and the state dump.
package query

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action/ledger"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// reportInterval is the time between two status reports.
const reportInterval = 250 * time.Millisecond

// engineTimeout bounds a query to the backend server.
const engineTimeout = time.Second

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
	Log      *telemetry.Logger
}

// ActionStatus tells of the actions of an agent.
type ActionStatus interface {
	Status() ledger.Status
}

// Reporter reports the state of an agent and its backend server.
type Reporter struct {
	options ReporterOptions

	mu          sync.Mutex
	status      agentapi.Status
	cacheCursor uint64
	subscribers map[*peer.Session]struct{}
	changed     chan struct{}
}

// NewReporter returns a Reporter.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{
		options: options,
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

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r.observe(ctx)
		r.publish(ctx)
		select {
		case <-ticker.C:
		case <-r.changed:
		case <-ctx.Done():
			return
		}
	}
}

// observe asks the backend server for its load and cache events.
func (r *Reporter) observe(ctx context.Context) {
	engine := r.options.Engine
	if engine == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	load, err := engine.Load(limited)
	events := r.cacheEvents(limited, err == nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.EngineUp = err == nil
	r.status.CacheEvents = events
	if err == nil {
		r.status.Load = load
	}
}

func (r *Reporter) cacheEvents(ctx context.Context, up bool) []backend.CacheEvent {
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
	status, subscribers := r.next()
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

func (r *Reporter) next() (agentapi.Status, []*peer.Session) {
	revision := r.options.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Sequence++
	r.status.Revision = revision
	all := make([]*peer.Session, 0, len(r.subscribers))
	for subscriber := range r.subscribers {
		all = append(all, subscriber)
	}
	return r.status, all
}

func (r *Reporter) unsubscribe(subscriber *peer.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, subscriber)
}

// Subscribe makes a peer receive each status. It returns the present one.
func (r *Reporter) Subscribe(_ context.Context, s *peer.Session, _ peer.None) (agentapi.Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[s] = struct{}{}
	return r.status, nil
}

// SetLeaving notes that the agent takes no new work and reports it at once.
func (r *Reporter) SetLeaving() {
	r.mu.Lock()
	r.status.Leaving = true
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
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
