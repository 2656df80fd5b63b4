package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/template"
)

// Intervals of the watch over hosts.
const (
	subscribeTimeout = 2 * time.Second
	silenceInterval  = 100 * time.Millisecond
	redialInterval   = 250 * time.Millisecond
)

// Run watches the agents until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	silence := time.NewTicker(silenceInterval)
	defer silence.Stop()
	for {
		select {
		case now := <-silence.C:
			f.checkSilence(now)
		case <-ctx.Done():
			return
		}
	}
}

// Wait returns when no agent is watched any more. Run must have ended.
func (f *Fleet) Wait() { f.watchers.Wait() }

// ApplyHosts begins to watch the agents that are new in the platform's list,
// until ctx ends, and forgets those that are silent and no longer listed. A
// listed host is not taken for alive until it speaks.
func (f *Fleet) ApplyHosts(ctx context.Context, hosts []platform.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[wigeonfork.BackendServerID]bool{}
	for id := range f.entries {
		if f.noted[id]++; f.noted[id] > listLag {
			delete(f.entries, id)
			delete(f.noted, id)
		}
	}
	for _, host := range hosts {
		if host.Role == platform.RoleEntry {
			f.entries[host.ID] = host
			f.noted[host.ID] = 0
		}
		if host.Role != platform.RoleAgent {
			continue
		}
		listed[host.BackendServer] = true
		f.track(ctx, host)
	}
	for id, s := range f.servers {
		if !listed[id] && s.state == routing.StateDead {
			s.stop()
			delete(f.servers, id)
			f.router.Remove(id)
		}
	}
}

// listLag is how many readings of the list may lack an entry that has spoken
// before it is forgotten.
const listLag = 10

// NoteEntry takes in an entry that has spoken, which the list may lack yet.
func (f *Fleet) NoteEntry(host platform.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[host.ID] = host
	f.noted[host.ID] = 0
}

func (f *Fleet) track(ctx context.Context, host platform.Host) {
	known, ok := f.servers[host.BackendServer]
	if ok && known.host.ControlAddress == host.ControlAddress && known.host.ServeAddress == host.ServeAddress {
		return
	}
	if ok {
		known.stop()
	}
	watched, stop := context.WithCancel(ctx)
	s := &server{host: host, stop: stop, state: routing.StateDead}
	f.servers[host.BackendServer] = s
	f.describe(s)
	f.router.SetState(time.Now(), host.BackendServer, routing.StateDead)
	f.watchers.Add(1)
	go func() {
		defer f.watchers.Done()
		f.watch(watched, s)
	}()
}

// watch keeps a status subscription at the agent of s.
func (f *Fleet) watch(ctx context.Context, s *server) {
	for ctx.Err() == nil {
		f.subscribe(ctx, s)
		select {
		case <-time.After(redialInterval):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) subscribe(ctx context.Context, s *server) {
	limited, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	client, err := peer.Dial(limited, s.host.ControlAddress, f.options.Hello, func(n peer.Notification) {
		var status agentapi.Status
		if n.Method == peer.MethodStatus && json.Unmarshal(n.Params, &status) == nil {
			f.apply(time.Now(), s, status)
		}
	})
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	var status agentapi.Status
	if err := client.Call(limited, peer.MethodStatusSubscribe, peer.None{}, &status); err != nil {
		return
	}
	f.apply(time.Now(), s, status)
	select {
	case <-client.Done():
	case <-ctx.Done():
	}
}

// apply takes in a status. One that is older than the newest of its
// incarnation is dropped.
func (f *Fleet) apply(now time.Time, s *server, status agentapi.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.BackendServer != s.host.BackendServer {
		return
	}
	if status.Incarnation == s.status.Incarnation && status.Sequence < s.status.Sequence {
		return
	}
	changed := !sameVersions(s.status, status) || s.heard.IsZero()
	s.status = status
	s.heard = now
	if changed {
		f.describe(s)
	}
	if !status.Plain && status.EngineUp {
		f.router.Report(now, s.host.BackendServer, status.Load)
	}
	for _, event := range status.CacheEvents {
		f.router.CacheEvent(now, s.host.BackendServer, event)
	}
	f.setState(now, s, stateOf(status))
}

func stateOf(status agentapi.Status) routing.State {
	switch {
	case status.Leaving:
		return routing.StateLeaving
	case !status.EngineUp:
		return routing.StateDead
	default:
		return routing.StateReady
	}
}

func sameVersions(a, b agentapi.Status) bool {
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

func (f *Fleet) checkSilence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		silence := now.Sub(s.heard)
		switch {
		case silence > deadAfter:
			f.setState(now, s, routing.StateDead)
		case silence > suspectAfter && s.state == routing.StateReady:
			f.setState(now, s, routing.StateSuspect)
		}
	}
}

// Install makes a snapshot of the configuration the one in force.
func (f *Fleet) Install(snapshot *template.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
	for _, s := range f.servers {
		f.describe(s)
	}
}

// plainSlots is the number of calls that a plain service takes at once.
const plainSlots = 64

// describe tells the router what s serves. A deployment stands in the router
// as a model, so that only its own backend servers are chosen.
func (f *Fleet) describe(s *server) {
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
			description.Versions = append(description.Versions, loadedOf(d, s.status)...)
		})
	}
	f.router.Upsert(description)
}

// loadedOf returns the versions of d that s holds. Versions without a share are
// among them, since answers under way go on where they began.
func loadedOf(d *template.Deployment, status agentapi.Status) []routing.Deployment {
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
