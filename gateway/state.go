package gateway

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// State is the gateway's view of itself and its servers, for operators.
type State struct {
	Host    wigeonfork.HostID        `json:"host"`
	Domain  wigeonfork.FailureDomain `json:"failure_domain"`
	Leaving bool                     `json:"leaving"`
	// Unready is the reason for which the gateway takes no new callers; empty if it
	// does.
	Unready  string `json:"unready,omitempty"`
	Requests int64  `json:"requests"`
	// Version is the configuration in force. AgeMs is the time in milliseconds since
	// it was last known to be the newest, -1 if it never was.
	Version uint64 `json:"configuration_version"`
	AgeMs   int64  `json:"configuration_age_ms"`
	// ServersRevision is the store's revision up to which the servers are known.
	ServersRevision uint64 `json:"servers_revision"`
	// Era is the store's newest known era.
	Era uint64 `json:"store_era"`
	// Rank is this entry's reader rank at the store. Peers is the number of live
	// peers.
	Rank    int `json:"rank"`
	Peers   int `json:"peers"`
	Streams int `json:"streams"`
	// HasLimitShare is set if the entry has a share of the limits on requests that servers name.
	HasLimitShare bool `json:"has_limit_share"`
	// Quarantined lists the contents of requests that are refused since they crash
	// servers, as in the logs.
	Quarantined []string `json:"quarantined,omitempty"`
	// QuarantinedParts lists the parts of prompts that are refused since they crash servers, as in
	// the logs. Of parts with commas between them, only prompts that hold all are refused.
	QuarantinedParts []string `json:"quarantined_parts,omitempty"`
	// Memory is what is held for callers and backend servers.
	Memory MemoryState `json:"memory"`
	// Moves describes the moves of services to other versions, with their evidence.
	Moves   map[wigeonfork.Model]string `json:"moves,omitempty"`
	Servers []ServerState               `json:"servers"`
}

// ServerState is the gateway's view of one backend server.
type ServerState struct {
	ID      wigeonfork.BackendServerID `json:"id"`
	Service wigeonfork.Model           `json:"service"`
	Address string                     `json:"address"`
	Domain  wigeonfork.FailureDomain   `json:"failure_domain"`
	Version wigeonfork.Version         `json:"version"`
	State   string                     `json:"state"`
	// RequestLimit is the limit that the server names, in requests a second from all entries; nil if it names none.
	RequestLimit *float64 `json:"request_limit,omitempty"`
	// GapUs is the measured time between two tokens in microseconds. ReadRate is the
	// measured rate of prompt tokens read per second. Both are 0 without a speed
	// sample.
	GapUs    int64   `json:"token_gap_us"`
	ReadRate float64 `json:"prompt_tokens_per_second"`
	// Room is the memory of the server's engine; nil if it is not counted.
	Room *RoomState `json:"room,omitempty"`
	// Capacity is the measured capacity of the server; nil if it does not report its slowdown.
	Capacity *CapacityState `json:"capacity,omitempty"`
}

// CapacityState is the measured capacity of a server.
type CapacityState struct {
	// Slowdown is the present duration of work divided by its usual duration. SlowdownAgeMs is the age of the server's
	// last report of it in milliseconds.
	Slowdown      float64 `json:"slowdown"`
	SlowdownAgeMs int64   `json:"slowdown_age_ms"`
	// ServiceMs is the usual time of a request without a prompt in milliseconds; 0 if it is not known.
	ServiceMs float64 `json:"service_ms"`
	// Takes is the number of requests without a prompt that may be in flight before they take much longer than usual.
	Takes float64 `json:"takes"`
}

// RoomState is the memory of an engine in tokens: its size, what the requests of all entries use, and what copies of KV
// caches use. Requests is the number of requests that use it.
type RoomState struct {
	Limit    int `json:"tokens"`
	Used     int `json:"used_tokens"`
	Backups  int `json:"backup_tokens"`
	Requests int `json:"requests"`
}

// State returns the gateway's current state.
func (g *Gateway) State() State {
	now := time.Now()
	_, leaving := g.leaving()
	s := State{
		Host: g.options.Host, Domain: g.options.Domain, Leaving: leaving, Unready: g.unready(),
		Requests: g.active.Load(), AgeMs: g.config.ageMs(), ServersRevision: g.servers.get().Revision, Era: g.config.era(), Rank: g.readerRank(),
	}
	if table := g.config.table(); table != nil {
		s.Version = table.Version()
	}
	if g.gossip != nil {
		s.Peers = g.gossip.livePeers(now)
	}
	s.Quarantined = g.crashes.state(now)
	s.QuarantinedParts = g.partGuard.state(now)
	s.Moves = g.moves.state()
	s.Memory = g.memoryState()
	s.HasLimitShare = g.limits.hasShare()
	s.Streams, s.Servers = g.fleet.state(now)
	for i := range s.Servers {
		if rate, limited := g.limits.rate(s.Servers[i].ID); limited {
			s.Servers[i].RequestLimit = &rate
		}
	}
	return s
}

func (f *fleet) state(now time.Time) (streams int, servers []ServerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, entry := range f.entries {
		gap, rate, _ := f.router.MeasuredSpeed(id)
		servers = append(servers, ServerState{
			ID: id, Service: entry.Service, Address: entry.Address, Domain: entry.Domain, Version: entry.Version,
			State: f.servers.State(id).String(), GapUs: gap.Microseconds(), ReadRate: rate,
			Room:     f.roomLocked(now, id),
			Capacity: f.capacityLocked(now, id),
		})
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return f.streams.Len(), servers
}

// roomLocked returns the state of a server's memory, or nil if it is not counted.
func (f *fleet) roomLocked(now time.Time, id serverID) *RoomState {
	room := f.router.Room(now, id)
	if room.Limit == 0 {
		return nil
	}
	return &RoomState{Limit: room.Limit, Used: room.Used, Backups: room.Backups, Requests: room.Requests}
}

// capacityLocked returns what is known of a server's capacity, or nil if the server does not report its slowdown.
func (f *fleet) capacityLocked(now time.Time, id serverID) *CapacityState {
	c, ok := f.router.Capacity(now, id)
	if !ok {
		return nil
	}
	return &CapacityState{
		Slowdown: c.Slowdown, SlowdownAgeMs: c.Age.Milliseconds(),
		ServiceMs: c.ServiceTime.Seconds() * 1000, Takes: c.Takes,
	}
}

// Inspect returns a handler that serves metrics at /metrics and the state at /state.
func (g *Gateway) Inspect() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(g.options.Metrics))
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(g.State())
	})
	return mux
}
