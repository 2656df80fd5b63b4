package gateway

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// State is what a gateway believes, for operators.
type State struct {
	Host    wigeonfork.HostID        `json:"host"`
	Domain  wigeonfork.FailureDomain `json:"failure_domain"`
	Leaving bool                     `json:"leaving"`
	// Unready says why the gateway takes no new callers, if it does not.
	Unready  string `json:"unready,omitempty"`
	Requests int64  `json:"requests"`
	// Version is the configuration in force; AgeMs is how long ago it was proved to
	// be the newest one, -1 if it never was.
	Version uint64 `json:"configuration_version"`
	AgeMs   int64  `json:"configuration_age_ms"`
	// ServersRevision is the store's revision up to which the servers are known.
	ServersRevision uint64 `json:"servers_revision"`
	// Rank is this entry's turn to read from the store, Peers the entries heard.
	Rank    int           `json:"rank"`
	Peers   int           `json:"peers"`
	Streams int           `json:"streams"`
	Servers []ServerState `json:"servers"`
}

// ServerState is what a gateway believes of one backend server.
type ServerState struct {
	ID      wigeonfork.BackendServerID `json:"id"`
	Service wigeonfork.Model           `json:"service"`
	Address string                     `json:"address"`
	Domain  wigeonfork.FailureDomain   `json:"failure_domain"`
	Version wigeonfork.Version         `json:"version"`
	State   string                     `json:"state"`
	// GapUs is the learned time between two tokens in microseconds and ReadRate the
	// prompt tokens read in a second; 0 if nothing was learned.
	GapUs    int64   `json:"token_gap_us"`
	ReadRate float64 `json:"prompt_tokens_per_second"`
}

// State returns what the gateway believes now.
func (g *Gateway) State() State {
	now := time.Now()
	_, leaving := g.leaving(now)
	s := State{
		Host: g.options.Host, Domain: g.options.Domain, Leaving: leaving, Unready: g.unready(),
		Requests: g.active.Load(), AgeMs: -1, ServersRevision: g.servers.get().revision, Rank: g.readerRank(),
	}
	if table := g.config.table(); table != nil {
		s.Version = table.Version()
	}
	if age, proved := g.config.age(); proved {
		s.AgeMs = age.Milliseconds()
	}
	if g.gossip != nil {
		s.Peers = g.gossip.livePeers(now)
	}
	s.Streams, s.Servers = g.fleet.state()
	return s
}

func (f *fleet) state() (streams int, servers []ServerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, entry := range f.entries {
		gap, rate, _ := f.router.Pace(id)
		servers = append(servers, ServerState{
			ID: id, Service: entry.Service, Address: entry.Address, Domain: entry.Domain, Version: entry.Version,
			State: f.servers.State(id).String(), GapUs: gap.Microseconds(), ReadRate: rate,
		})
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	return f.streams.Len(), servers
}

// Inspect serves metrics at /metrics and the state at /state.
func (g *Gateway) Inspect() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(g.options.Metrics))
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The caller may be gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(g.State())
	})
	return mux
}
