package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

const (
	// tickInterval is the time between two ticks of the tracker.
	tickInterval = 100 * time.Millisecond
	// pollTimeout bounds one poll of an agent.
	pollTimeout = time.Second
	// Sizes of the worker pool for polls and refutations.
	poolWorkers = 8
	poolQueue   = 512
	// maxConnections bounds the control connections to agents.
	maxConnections = 256
)

// Run tracks the agents until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// Close waits for the polls in progress and closes the connections to agents. Run must have ended.
func (f *Fleet) Close() {
	f.pool.Close()
	f.peers.Close()
}

func (f *Fleet) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.tracker.Subset() {
		if s, ok := f.servers[id]; ok {
			f.tracker.SetStreams(id, s.streams)
		}
	}
	f.execute(now, f.tracker.Tick(now))
	for _, id := range f.tracker.Subset() {
		if s, ok := f.servers[id]; ok {
			f.updateState(now, s)
		}
	}
}

// execute carries out the tracker's actions. The caller holds the lock.
func (f *Fleet) execute(now time.Time, actions membership.Actions) {
	for _, id := range actions.Polls {
		f.poll(id)
	}
	for _, refute := range actions.Refutes {
		f.refute(refute)
	}
	if actions.SubsetChanged {
		f.updateStates(now)
	}
	for _, change := range actions.Changes {
		if s, ok := f.servers[change.BackendServer]; ok {
			f.updateState(now, s)
		}
	}
}

// poll requests an agent's status in the background. The caller holds the lock.
func (f *Fleet) poll(id wigeonfork.BackendServerID) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	address := s.host.ControlAddress
	// If the pool's queue is full, the poll is dropped. The tracker polls again later.
	f.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		var status agentapi.Status
		client, err := f.peers.Get(ctx, address)
		if err == nil {
			err = client.Call(ctx, peer.MethodStatusSubscribe, peer.None{}, &status)
		}
		telemetry.Counter(f.options.Metrics, "fleet.polls").Inc(1)
		if err != nil {
			f.markUnreachable(time.Now(), id, infra.OutcomeOf(err))
			return
		}
		f.applyStatus(time.Now(), status)
	})
}

// refute tells an agent that one of its incarnations has ended. The caller holds the lock.
func (f *Fleet) refute(refute membership.Refute) {
	s, ok := f.servers[refute.BackendServer]
	if !ok {
		return
	}
	address := s.host.ControlAddress
	f.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		client, err := f.peers.Get(ctx, address)
		if err == nil {
			err = client.Call(ctx, peer.MethodRefute, refute, nil)
		}
		if err != nil {
			f.options.Log.Debug().Str("step", "membership").Str("peer", address).Err(err).Msg("refute_failed")
		}
	})
}

// markUnreachable marks an agent as unreachable if no connection to it could be opened. The agent
// gets no new requests until its next status.
func (f *Fleet) markUnreachable(now time.Time, id wigeonfork.BackendServerID, outcome infra.Outcome) {
	if outcome != infra.OutcomeNotDone {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.unreachable = true
		f.updateState(now, s)
	}
}

// handleNotification applies a status that an agent sent as a notification.
func (f *Fleet) handleNotification(n peer.Notification) {
	var status agentapi.Status
	if n.Method == peer.MethodStatus && json.Unmarshal(n.Params, &status) == nil {
		f.applyStatus(time.Now(), status)
	}
}

// applyStatus applies a status. The tracker refutes a status of an ended incarnation. A status
// older than the newest one changes nothing.
func (f *Fleet) applyStatus(now time.Time, status agentapi.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[status.BackendServer]
	if !ok {
		return
	}
	f.execute(now, f.tracker.ReceiveHeartbeat(now, membership.Heartbeat{
		BackendServer: status.BackendServer,
		Incarnation:   status.MemberIncarnation,
		Sequence:      status.Sequence,
		Leaving:       status.Leaving,
	}))
	if status.MemberIncarnation < s.status.MemberIncarnation || status.MemberIncarnation == s.status.MemberIncarnation && status.Sequence < s.status.Sequence {
		return
	}
	changed := !sameVersionsAndSlots(s.status, status) || s.status.MemberIncarnation == 0
	if before := s.status.Load.Incarnation; before != "" && before != status.Load.Incarnation {
		f.options.EngineRestarted(status.BackendServer)
	}
	s.status = status
	s.unreachable = false
	if changed {
		f.updateDescription(s)
	}
	if !status.Plain && status.EngineUp {
		f.router.Report(now, s.host.BackendServer, status.Load)
	}
	for _, event := range status.CacheEvents {
		f.router.CacheEvent(now, s.host.BackendServer, event)
	}
	f.updateState(now, s)
}

// Heartbeat applies the engine's load from a frame of a stream at p. The frame also shows that the
// agent is live, so that the agent need not be polled. Frames less than half a LoadInterval after
// the last applied one are ignored.
func (f *Fleet) Heartbeat(now time.Time, p *Placement, load frame.Load) {
	if now.Sub(p.lastHeartbeatAt) < agentapi.LoadInterval/2 {
		return
	}
	p.lastHeartbeatAt = now
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[p.Server]
	if !ok {
		return
	}
	f.tracker.ReceiveFrame(now, p.Server, p.memberIncarnation)
	if load.Changes != s.status.Changes {
		f.poll(p.Server)
	}
	if s.status.MemberIncarnation != p.memberIncarnation || !s.status.EngineUp {
		return
	}
	report := s.status.Load
	report.Running = int(load.Running)
	report.Waiting = int(load.Waiting)
	report.MeasuredAt = now
	f.router.Report(now, p.Server, report)
}

// updateStates updates the router's states of all servers, including those that have left the
// subset.
func (f *Fleet) updateStates(now time.Time) {
	for _, s := range f.servers {
		f.updateState(now, s)
	}
}

// updateState sets the router's state of s to the observed state.
func (f *Fleet) updateState(now time.Time, s *server) {
	f.setState(now, s, f.stateOf(now, s))
}

func (f *Fleet) stateOf(now time.Time, s *server) routing.State {
	if s.unreachable {
		return routing.StateDead
	}
	switch f.tracker.State(now, s.host.BackendServer) {
	case membership.StateLeaving:
		return routing.StateLeaving
	case membership.StateLive:
		return engineState(s, routing.StateReady)
	case membership.StateSuspect:
		return engineState(s, routing.StateSuspect)
	default:
		return routing.StateDead
	}
}

func engineState(s *server, up routing.State) routing.State {
	if !s.status.EngineUp {
		return routing.StateDead
	}
	return up
}

func sameVersionsAndSlots(a, b agentapi.Status) bool {
	if len(a.Load.Versions) != len(b.Load.Versions) || a.Load.Slots != b.Load.Slots {
		return false
	}
	for i := range a.Load.Versions {
		if a.Load.Versions[i] != b.Load.Versions[i] {
			return false
		}
	}
	return true
}

// Install makes snapshot the active configuration.
func (f *Fleet) Install(snapshot *template.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
	for _, s := range f.servers {
		// The loaded versions of a server without a status are unknown.
		if s.status.MemberIncarnation != 0 {
			f.updateDescription(s)
		}
	}
}

// plainSlots is the number of concurrent calls to a plain service.
const plainSlots = 64

// updateDescription describes s to the router. The router sees each deployment as a model, so that
// only the deployment's own backend servers are chosen.
func (f *Fleet) updateDescription(s *server) {
	description := routing.Server{
		ID:     s.host.BackendServer,
		Host:   s.host.ID,
		Domain: s.host.Domain,
		Slots:  s.status.Load.Slots,
	}
	if s.status.Plain {
		description.Slots = plainSlots
	}
	if f.snapshot != nil {
		f.snapshot.EachServedBy(s.host.BackendServer, func(d *template.Deployment) {
			description.Versions = append(description.Versions, loadedVersions(d, s.status)...)
		})
	}
	f.router.Upsert(description)
}

// loadedVersions returns the versions of d that are loaded on the server. It includes versions
// without a traffic share, since answers in progress stay on their version.
func loadedVersions(d *template.Deployment, status agentapi.Status) []routing.Deployment {
	var versions []routing.Deployment
	if status.Plain {
		for _, share := range d.Versions {
			versions = append(versions, routing.Deployment{Model: wigeonfork.Model(d.Name), Version: share.Version})
		}
		return versions
	}
	for _, loaded := range status.Load.Versions {
		if loaded.Model == d.Model && loaded.Ready {
			versions = append(versions, routing.Deployment{Model: wigeonfork.Model(d.Name), Version: loaded.Version})
		}
	}
	return versions
}
