package fleet

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/template"
)

// ApplyHosts applies the platform's host list as of asOf. A newly listed agent counts as dead until
// it responds.
func (f *Fleet) ApplyHosts(now time.Time, hosts []infra.Host, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireEntries()
	listed := map[wigeonfork.BackendServerID]bool{}
	for _, host := range hosts {
		switch host.Role {
		case infra.RoleEntry:
			f.entries[host.ID] = host
			f.missedReads[host.ID] = 0
		case infra.RoleAgent:
			listed[host.BackendServer] = true
			f.upsertAgent(now, host)
		}
	}
	f.tracker.SetWarmSize(warmSize(len(listed)))
	f.execute(now, f.tracker.ApplyHostList(now, hosts, asOf))
	for id, s := range f.servers {
		if !listed[id] && s.state == routing.StateDead {
			delete(f.servers, id)
			f.router.Remove(id)
		}
	}
}

// maxFullyPolledAgents is the number of agents up to which all are polled while idle, so that each
// can be chosen at once.
const maxFullyPolledAgents = 64

func warmSize(agents int) int {
	if agents <= maxFullyPolledAgents {
		return max(agents, membership.DefaultWarmSize)
	}
	return membership.DefaultWarmSize
}

// pollIdleServers requests polls of idle servers of a route after none could be chosen.
func (f *Fleet) pollIdleServers(route *template.Route) {
	requested := 0
	for _, id := range f.tracker.Subset() {
		if route.Servers.Contains(id) && requested < maxPollsPerRequest {
			f.tracker.RequestPoll(id)
			requested++
		}
	}
}

// maxPollsPerRequest bounds the polls that one request causes.
const maxPollsPerRequest = 3

// maxMissedReads is how many successive reads of the host list may lack an entry before it is
// removed. The list can lag behind an entry that has already sent an update.
const maxMissedReads = 10

func (f *Fleet) expireEntries() {
	for id := range f.entries {
		if f.missedReads[id]++; f.missedReads[id] > maxMissedReads {
			delete(f.entries, id)
			delete(f.missedReads, id)
		}
	}
}

// AddEntry adds an entry that sent an update. The host list may not contain it yet.
func (f *Fleet) AddEntry(host infra.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[host.ID] = host
	f.missedReads[host.ID] = 0
}

// upsertAgent adds a listed agent or updates its host record.
func (f *Fleet) upsertAgent(now time.Time, host infra.Host) {
	existing, ok := f.servers[host.BackendServer]
	if ok {
		if existing.host.ControlAddress != host.ControlAddress {
			existing.unreachable = false
		}
		existing.host = host
		return
	}
	s := &server{host: host, state: routing.StateDead}
	f.servers[host.BackendServer] = s
	f.updateDescription(s)
	f.router.SetState(now, host.BackendServer, routing.StateDead)
}
