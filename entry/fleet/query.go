package fleet

import (
	"cmp"
	"slices"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/routing"
)

// Summary describes a backend server in a dump.
type Summary struct {
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`
	Agent         string                     `json:"agent"`
	Domain        wigeonfork.FailureDomain   `json:"failure_domain"`
	State         string                     `json:"state"`
	Incarnation   string                     `json:"incarnation"`
	Versions      []backend.LoadedVersion    `json:"versions"`
	Running       int                        `json:"running"`
}

// Summaries describes all backend servers for a dump, ordered by id.
func (f *Fleet) Summaries() []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Summary, 0, len(f.servers))
	for id, s := range f.servers {
		all = append(all, Summary{
			BackendServer: id,
			Agent:         s.host.ServeAddress,
			Domain:        s.host.Domain,
			State:         s.state.String(),
			Incarnation:   s.status.Incarnation,
			Versions:      s.status.Load.Versions,
			Running:       s.status.Load.Running,
		})
	}
	slices.SortFunc(all, func(a, b Summary) int { return cmp.Compare(a.BackendServer, b.BackendServer) })
	return all
}

// Capacity returns the total slots of the ready engines, the number of those engines, and the
// number of known entries that share them, which is at least 1.
func (f *Fleet) Capacity() (slots, engines, entries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.state == routing.StateReady && !s.status.Plain {
			engines++
			slots += s.status.Load.Slots
		}
	}
	return slots, engines, max(1, len(f.entries))
}

// OtherEntries returns the control addresses of the other known entries, in ascending order.
func (f *Fleet) OtherEntries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for id, host := range f.entries {
		if string(id) != f.options.Handshake.ID {
			addresses = append(addresses, host.ControlAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Usable returns the number of backend servers that accept requests.
func (f *Fleet) Usable() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := 0
	for _, s := range f.servers {
		if s.state == routing.StateReady {
			usable++
		}
	}
	return usable
}
