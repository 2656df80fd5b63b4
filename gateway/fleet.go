package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// serverID identifies a backend server.
type serverID = wigeonfork.BackendServerID

// placement is the backend server chosen for a request.
type placement struct {
	directory.Entry
	// expectedWait and expectedTotal are the predicted times to the first and to
	// the last token.
	expectedWait  time.Duration
	expectedTotal time.Duration
	// sentAt is when the request was sent, and bootSentAt the same by a clock that counts the time for which the host is
	// suspended.
	sentAt     time.Time
	bootSentAt freshness.Instant
	// unstarted is set while the server is not charged with the work yet, as its limit must allow the request first.
	unstarted bool
}

func (p *placement) upstream() upstream.Server {
	return upstream.Server{ID: string(p.ID), Address: p.Address}
}

// fleet holds the gateway's view of the backend servers. Its lock is never held over
// network I/O.
type fleet struct {
	log     *telemetry.Logger
	metrics telemetry.Registry
	// onRemoved is called with each removed server, so that its connections are
	// closed.
	onRemoved func(upstream.Server)
	// onEnded is called with each start of a server that is gone.
	onEnded func(serverID)
	// isLimited reports whether a server names a limit on its requests.
	isLimited func(serverID) bool
	// onLost is called with each server that does not respond.
	onLost func(time.Time, directory.Entry)
	// onReturned is called with each server that proved to be the same start after a loss.
	onReturned func(time.Time, directory.Entry)
	// probe starts a probe of a suspected server.
	probe func(directory.Entry)
	// identify starts to ask which server answers at the address of one.
	identify func(directory.Entry)
	// announce queues a message to the peers.
	announce func(loadshare.Message)
	// shareCapacity queues the measured capacity of a server for the peers.
	shareCapacity func(loadshare.ServerCapacity)

	mu        sync.Mutex
	directory *directory.Directory
	router    *routing.Router
	servers   *health.Servers
	signs     *directory.SignsOfLife
	streams   *health.Streams
	entries   map[serverID]directory.Entry
	hashes    map[loadshare.ServerHash]serverID
	runs      map[health.StreamID]*watchedRun
	// versions decides which version of a service a request goes to. versionOrder lists
	// the versions of the known servers of each service, in the order in which they
	// appeared, and versionCount the number of servers of each.
	versions     versionPolicy
	versionOrder map[wigeonfork.Model][]wigeonfork.Version
	versionCount map[serviceVersion]int
	// enginesCrash is set if an engine whose requests exceed its memory crashes.
	enginesCrash bool
	// probedAt is when each suspected server was last probed.
	probedAt map[serverID]time.Time
}

func newFleet(o *Options, onRemoved func(upstream.Server)) *fleet {
	return &fleet{
		log:        o.Log,
		metrics:    o.Metrics,
		onRemoved:  onRemoved,
		onEnded:    func(serverID) {},
		isLimited:  func(serverID) bool { return false },
		announce:   func(loadshare.Message) {},
		onLost:     func(time.Time, directory.Entry) {},
		onReturned: func(time.Time, directory.Entry) {},
		identify:   func(directory.Entry) {},

		shareCapacity: func(loadshare.ServerCapacity) {},

		directory: directory.New(),
		router:    routing.New(routing.Options{Seed: seedOf(o.Host), Domain: o.Domain}),
		servers:   health.NewServers(),
		signs:     directory.NewSignsOfLife(),
		streams:   health.NewStreams(),
		entries:   make(map[serverID]directory.Entry),
		hashes:    make(map[loadshare.ServerHash]serverID),
		runs:      make(map[health.StreamID]*watchedRun),
		probedAt:  make(map[serverID]time.Time),

		enginesCrash: o.Bounds.EnginesCrashWithoutMemory,

		versions:     anyVersion{},
		versionOrder: make(map[wigeonfork.Model][]wigeonfork.Version),
		versionCount: make(map[serviceVersion]int),
	}
}

// replaceServers applies a complete read of the registered servers.
func (f *fleet) replaceServers(now time.Time, entries []directory.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(now, f.directory.Replace(now, entries))
}

// applyChanges applies changes of the registered servers and returns those that were
// not known.
func (f *fleet) applyChanges(now time.Time, changes []directory.Change) []directory.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	updates := f.directory.NewChanges(changes)
	f.apply(now, f.directory.Apply(now, updates))
	return updates
}

// adopt adds a server that is not registered yet.
func (f *fleet) adopt(now time.Time, entry directory.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(now, f.directory.Adopt(now, entry))
}

// registryLost records that the registered servers can't be read.
func (f *fleet) registryLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.RegistryLost()
}

func (f *fleet) apply(now time.Time, events []directory.Event) {
	logChanges(f.log, events)
	for _, event := range events {
		switch event.Kind {
		case directory.Added:
			f.add(event.Entry)
		case directory.Restarted:
			if before := f.entries[event.Entry.ID]; hasRestarted(before, event.Entry) {
				f.onLost(now, before)
				f.endRunsLocked(event.Entry.ID, errServerReplaced)
			}
			f.remove(event.Entry.ID)
			f.add(event.Entry)
		case directory.Updated:
			f.removeVersion(f.entries[event.Entry.ID])
			f.addVersion(event.Entry)
			f.entries[event.Entry.ID] = event.Entry
			f.router.Upsert(routerServer(event.Entry))
		case directory.Left:
			f.remove(event.Entry.ID)
		}
	}
}

// hasRestarted reports whether two entries of one server certainly are of different starts. An entry
// may not say when the server started.
func hasRestarted(before, after directory.Entry) bool {
	return before.Born != 0 && after.Born != 0 && before.Born != after.Born
}

func (f *fleet) add(entry directory.Entry) {
	f.entries[entry.ID] = entry
	f.addVersion(entry)
	f.hashes[loadshare.HashServer(entry.ID)] = entry.ID
	f.servers.Add(entry.ID, entry.Service, entry.Domain)
	f.router.Upsert(routerServer(entry))
}

func (f *fleet) remove(id serverID) {
	known, ok := f.entries[id]
	if !ok {
		return
	}
	delete(f.entries, id)
	f.removeVersion(known)
	delete(f.probedAt, id)
	delete(f.hashes, loadshare.HashServer(id))
	f.servers.Remove(id)
	f.signs.Forget(id)
	f.router.Remove(id)
	f.copiesLostLocked(id)
	f.onEnded(id)
	go f.onRemoved(upstream.Server{ID: string(id), Address: known.Address})
}

// routerServer converts a directory entry for the router. The empty version serves
// requests for any version of a service.
func routerServer(entry directory.Entry) routing.Server {
	return routing.Server{
		ID:       entry.ID,
		Host:     wigeonfork.HostID(entry.Address),
		Domain:   entry.Domain,
		Versions: []routing.Deployment{{Model: entry.Service}, {Model: entry.Service, Version: entry.Version}},
		Slots:    entry.Slots,
	}
}

// backup returns a server to keep a copy of the KV cache of a run at primary, or nil.
// It reserves memory there, which the caller must free by releaseBackup. replaces is set if the copy replaces one whose
// server was lost.
func (f *fleet) backup(now time.Time, primary *placement, work routing.Work, replaces bool) *directory.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.router.ChooseBackup(now, routing.BackupRequest{
		Model:   primary.Service,
		Version: f.versions.backupVersion(primary.Service),
		Server:  primary.ID,
		Domain:  primary.Domain,
		Tokens:  work.PromptTokens + work.MaxTokens,

		Replaces: replaces,
	})
	if !ok {
		return nil
	}
	f.announceOccupancy(loadshare.CopyKept, id, &work)
	entry := f.entries[id]
	return &entry
}

// releaseBackup frees the memory reserved for a copy at a server.
func (f *fleet) releaseBackup(id serverID, work routing.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.ReleaseBackup(id, work.PromptTokens+work.MaxTokens)
	f.announceOccupancy(loadshare.CopyDropped, id, &work)
}

// finished releases a request from the server that completed it.
func (f *fleet) finished(now time.Time, p *placement, work routing.Work, result routing.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Finished(now, p.ID, work, result)
	f.announceOccupancy(loadshare.Ended, p.ID, &work)
	f.shareCapacityLocked(now, p.ID)
}

// failed releases a request from a server that did not complete it.
func (f *fleet) failed(now time.Time, p *placement, work routing.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Failed(now, p.ID, work)
	f.announceOccupancy(loadshare.Ended, p.ID, &work)
}

// refused records that a server has refused a request without running it.
func (f *fleet) refused(now time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Refused(now, id)
}

// recordAnswer records the head of an answer to a request sent at sentAt. A refusal may be that of another server at the
// address, which need not look for whom the request is before it refuses. So it is no sign of life, and one that says that
// it was misdirected says nothing else of the server either.
func (f *fleet) recordAnswer(now, sentAt time.Time, p *placement, reply *Reply) {
	if reply.Misdirected {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !reply.NotRun {
		f.signs.Answered(p.ID, p.bootSentAt)
	}
	if f.servers.Answered(sentAt, p.ID) {
		f.router.SetState(now, p.ID, routing.StateReady)
	}
	if load := reply.Load; load != nil {
		f.reportLocked(now, p.ID, load)
	}
}

// recordResult records whether a request failed at a server that could be reached. It
// announces each failure to the peers, and successes while the server is reported
// failing.
func (f *fleet) recordResult(now time.Time, p *placement, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed || f.servers.ReportedFailing(p.ID) {
		f.announce(resultMessage(p.ID, failed))
	}
	if f.servers.Result(now, p.ID, failed) {
		f.updateRouter(now, p.ID)
	}
}

func resultMessage(id serverID, failed bool) loadshare.Message {
	kind := loadshare.Succeeded
	if failed {
		kind = loadshare.Failed
	}
	return loadshare.Message{Kind: kind, Server: loadshare.HashServer(id)}
}

// updateRouter passes a server's changed state to the router.
func (f *fleet) updateRouter(now time.Time, id serverID) {
	state := f.servers.State(id)
	f.log.Info().Str("server", string(id)).Str("state", state.String()).Msg("server_state")
	switch state {
	case health.Up:
		f.router.SetState(now, id, routing.StateReady)
	case health.Failing, health.Suspect:
		f.router.SetState(now, id, routing.StateSuspect)
	case health.Down:
		f.router.SetState(now, id, routing.StateDead)
	}
}

// aliveCount returns the number of known servers that are not down.
func (f *fleet) aliveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.entries {
		if f.servers.State(id) != health.Down {
			n++
		}
	}
	return n
}

// alive reports whether a server is known and not down.
func (f *fleet) alive(id serverID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.entries[id]
	return ok && f.servers.State(id) != health.Down
}

// registered reports whether a server is known, down or not.
func (f *fleet) registered(id serverID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.entries[id]
	return ok
}

// serviceOf returns the service of a server, and false if the server is not known.
func (f *fleet) serviceOf(id serverID) (wigeonfork.Model, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, known := f.entries[id]
	return entry.Service, known
}

// firstToken and progress pass speed samples of a stream to the router.
func (f *fleet) firstToken(now time.Time, p *placement, seen routing.FirstToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.FirstToken(now, p.ID, seen)
}

func (f *fleet) progress(now time.Time, p *placement, tokens int, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Progress(now, p.ID, tokens, gap)
}

// setEngines applies the engine settings of a configuration's services.
func (f *fleet) setEngines(table *routetable.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range table.Services() {
		if service.Engine != nil {
			f.router.SetMemoryLimit(service.Name, service.Engine.MemoryTokens)
		}
		f.router.SetRoom(service.Name, service.Engine != nil && (f.enginesCrash || table.Ranked(service.Name)))
	}
}
