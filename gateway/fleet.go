package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// serverID names a backend server.
type serverID = wigeonfork.BackendServerID

// placement is a backend server that was chosen for a request.
type placement struct {
	directory.Entry
	// expectedWait and expectedTotal are the predicted times to the first and to
	// the last token.
	expectedWait  time.Duration
	expectedTotal time.Duration
}

func (p *placement) upstream() upstream.Server {
	return upstream.Server{ID: string(p.ID), Address: p.Address}
}

// fleet is what the gateway believes of the backend servers. Its lock is taken
// last and never held over I/O.
type fleet struct {
	log     *telemetry.Logger
	metrics telemetry.Registry
	// onRemoved is told of servers whose connections are of no more use.
	onRemoved func(upstream.Server)
	// probe is told of servers that are to be asked for a sign of life.
	probe func(directory.Entry)
	// announce passes a message on to the peers.
	announce func(loadshare.Message)

	mu        sync.Mutex
	directory *directory.Directory
	router    *routing.Router
	servers   *health.Servers
	streams   *health.Streams
	entries   map[serverID]directory.Entry
	hashes    map[loadshare.ServerHash]serverID
	cancels   map[health.StreamID]func(error)
	// probedAt is when each server in doubt was last probedAt for a sign of life.
	probedAt map[serverID]time.Time
}

func newFleet(o *Options, onRemoved func(upstream.Server)) *fleet {
	return &fleet{
		log:       o.Log,
		metrics:   o.Metrics,
		onRemoved: onRemoved,
		directory: directory.New(),
		router:    routing.New(routing.Options{Seed: seedOf(o.Host), Domain: o.Domain}),
		servers:   health.NewServers(),
		streams:   health.NewStreams(),
		entries:   make(map[serverID]directory.Entry),
		hashes:    make(map[loadshare.ServerHash]serverID),
		cancels:   make(map[health.StreamID]func(error)),
		probedAt:  make(map[serverID]time.Time),
	}
}

// replaceServers takes in a reading of all registered servers.
func (f *fleet) replaceServers(now time.Time, entries []directory.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.directory.Replace(now, entries))
}

// applyChanges takes in changes of the registered servers and returns those that tell
// something new.
func (f *fleet) applyChanges(now time.Time, changes []directory.Change) []directory.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	updates := f.directory.Changed(changes)
	f.apply(f.directory.Apply(now, updates))
	return updates
}

// adopt takes in a server that is not registered yet.
func (f *fleet) adopt(now time.Time, entry directory.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.directory.Adopt(now, entry))
}

// registryLost records that the registered servers can't be read.
func (f *fleet) registryLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Lost()
}

func (f *fleet) apply(events []directory.Event) {
	logChanges(f.log, events)
	for _, event := range events {
		switch event.Kind {
		case directory.Added:
			f.add(event.Entry)
		case directory.Restarted:
			f.remove(event.Entry.ID)
			f.add(event.Entry)
		case directory.Updated:
			f.entries[event.Entry.ID] = event.Entry
			f.router.Upsert(routerServer(event.Entry))
		case directory.Left:
			f.remove(event.Entry.ID)
		}
	}
}

func (f *fleet) add(entry directory.Entry) {
	f.entries[entry.ID] = entry
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
	delete(f.probedAt, id)
	delete(f.hashes, loadshare.HashServer(id))
	f.servers.Remove(id)
	f.router.Remove(id)
	go f.onRemoved(upstream.Server{ID: string(id), Address: known.Address})
}

// routerServer tells the router of a server. Requests for any version of a service
// ask for the empty version.
func routerServer(entry directory.Entry) routing.Server {
	return routing.Server{
		ID:       entry.ID,
		Host:     wigeonfork.HostID(entry.Address),
		Domain:   entry.Domain,
		Versions: []routing.Deployment{{Model: entry.Service}, {Model: entry.Service, Version: entry.Version}},
		Slots:    entry.Slots,
	}
}

// query asks for a backend server.
type query struct {
	service wigeonfork.Model
	work    routing.Work
	resume  bool
	exclude []serverID
	avoid   []serverID
	// avoidDomain is the failure domain of a loss, while that is fresh.
	avoidDomain wigeonfork.FailureDomain
}

// choose returns the server for a request and charges it with the work, which
// must be taken off by finished or failed.
func (f *fleet) choose(now time.Time, q *query) (*placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision, err := f.router.Choose(now, routing.Request{
		Model:        q.service,
		Class:        q.work.Class,
		Prefixes:     q.work.Prefixes,
		PromptTokens: q.work.PromptTokens,
		MaxTokens:    q.work.MaxTokens,
		Exclude:      q.exclude,
		Avoid:        q.avoid,
		AvoidDomain:  q.avoidDomain,
		Resume:       q.resume,
	})
	if err != nil {
		return nil, err
	}
	f.router.Started(now, decision.ID, q.work)
	return &placement{Entry: f.entries[decision.ID], expectedWait: decision.ExpectedWait, expectedTotal: decision.ExpectedTotal}, nil
}

// assign charges a given server with the work. It returns nil if the server does
// not assign work.
func (f *fleet) assign(now time.Time, id serverID, work routing.Work) *placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.entries[id]
	if !ok || f.servers.State(id) == health.Down {
		return nil
	}
	f.router.Started(now, id, work)
	return &placement{Entry: entry}
}

// backup returns a server to keep a copy of a run at primary, or nil.
func (f *fleet) backup(now time.Time, primary *placement, work routing.Work) *directory.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.router.ChooseBackup(now, routing.Backup{
		Model:  primary.Service,
		Server: primary.ID,
		Domain: primary.Domain,
		Tokens: work.PromptTokens + work.MaxTokens,
	})
	if !ok {
		return nil
	}
	entry := f.entries[id]
	return &entry
}

// releaseBackup takes the copy of an ended run off the server that held it.
func (f *fleet) releaseBackup(id serverID, work routing.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.ReleaseBackup(id, work.PromptTokens+work.MaxTokens)
}

// finished takes a request off the server that finished it.
func (f *fleet) finished(now time.Time, p *placement, work routing.Work, result routing.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Finished(now, p.ID, work, result)
}

// failed takes a request off a server that did not finish it.
func (f *fleet) failed(now time.Time, p *placement, work routing.Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Failed(now, p.ID, work)
}

// recordAnswer takes in the head of an answer to a request sent at sentAt.
func (f *fleet) recordAnswer(now, sentAt time.Time, p *placement, load *Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers.Answered(sentAt, p.ID) {
		f.router.SetState(now, p.ID, routing.StateReady)
	}
	if load != nil {
		f.router.Report(now, p.ID, backend.LoadReport{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, MeasuredAt: now,
		})
	}
}

// recordResult takes in whether a server failed a request that it answered.
func (f *fleet) recordResult(now time.Time, p *placement, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed || f.servers.Accused(p.ID) {
		f.announce(resultMessage(p.ID, failed))
	}
	if f.servers.Result(now, p.ID, failed) {
		f.updateRouter(now, p.ID)
	}
}

func resultMessage(id serverID, failed bool) loadshare.Message {
	kind := loadshare.Served
	if failed {
		kind = loadshare.Failed
	}
	return loadshare.Message{Kind: kind, Server: loadshare.HashServer(id)}
}

// updateRouter tells the router of a changed updateRouter.
func (f *fleet) updateRouter(now time.Time, id serverID) {
	state := f.servers.State(id)
	f.log.Info().Str("server", string(id)).Str("state", state.String()).Msg("server_state")
	switch state {
	case health.Up:
		f.router.SetState(now, id, routing.StateReady)
	case health.Failing, health.Doubtful:
		f.router.SetState(now, id, routing.StateSuspect)
	case health.Down:
		f.router.SetState(now, id, routing.StateDead)
	}
}

// usable returns the number of servers that take work.
func (f *fleet) usable() int {
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

// alive tells whether a server takes work.
func (f *fleet) alive(id serverID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.entries[id]
	return ok && f.servers.State(id) != health.Down
}

// watch begins to watch a run; cancel is called with the reason if it is lost.
func (f *fleet) watch(now time.Time, p *placement, startBy time.Time, queued bool, cancel func(error)) health.StreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.streams.Start(now, p.ID, p.Domain, startBy, queued)
	f.cancels[id] = cancel
	return id
}

// recordEvent records an recordEvent of a run.
func (f *fleet) recordEvent(now time.Time, id health.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.Event(now, id)
}

// unwatch ends the watch of a run.
func (f *fleet) unwatch(id health.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.End(id)
	delete(f.cancels, id)
}

// firstToken and progress tell the router of the pace of a stream.
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

// setEngines takes over what a configuration says of the services' engines.
func (f *fleet) setEngines(table *routetable.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range table.Services() {
		if service.Engine != nil {
			f.router.SetMemory(service.Name, service.Engine.MemoryTokens)
		}
	}
}
