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
	// Sizes of the pool for polls.
	poolWorkers = 8
	poolQueue   = 512
	// maxConnections bounds the control connections to agents.
	maxConnections = 256
)

// Run keeps in touch with the agents until ctx ends.
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

// Close ends the polls under way. Run must have ended.
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

// execute does what the tracker wants. The caller holds the lock.
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

// poll asks an agent for its status.
func (f *Fleet) poll(id wigeonfork.BackendServerID) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	address := s.host.ControlAddress
	// A poll that finds no room is made up for by the next one.
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

// refute tells an agent that an incarnation of it is over.
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

// markUnreachable gives an agent no new work until it is heard again, if it is
// known that nothing listens at its address.
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

// handleNotification takes in a status that an agent sent on its own.
func (f *Fleet) handleNotification(n peer.Notification) {
	var status agentapi.Status
	if n.Method == peer.MethodStatus && json.Unmarshal(n.Params, &status) == nil {
		f.applyStatus(time.Now(), status)
	}
}

// applyStatus takes in a status. One of an incarnation that is over is refuted, and
// one that is older than the newest changes nothing.
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

// Heartbeat takes in a heartbeat frame of a stream at p. It says that the agent
// lives and how busy its engine is, so that the agent need not be polled.
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

// updateStates brings the states of all servers up to date, those included that
// have left the subset.
func (f *Fleet) updateStates(now time.Time) {
	for _, s := range f.servers {
		f.updateState(now, s)
	}
}

// updateState brings the router's state of s up to what is known.
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

// Install makes a snapshot of the configuration the one in force.
func (f *Fleet) Install(snapshot *template.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
	for _, s := range f.servers {
		// One that was never heard serves nothing that is known.
		if s.status.MemberIncarnation != 0 {
			f.updateDescription(s)
		}
	}
}

// plainSlots is the number of calls that a plain service takes at once.
const plainSlots = 64

// updateDescription tells the router what s serves. A deployment stands in the router
// as a model, so that only its own backend servers are chosen.
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

// loadedVersions returns the versions of d that s holds. Versions without a share are
// among them, since answers under way go on where they began.
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
