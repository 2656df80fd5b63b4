package fleet

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/template"
)

// ApplyHosts takes in the platform's list as it stood at asOf. A listed host is
// not taken for alive until it speaks.
func (f *Fleet) ApplyHosts(now time.Time, hosts []infra.Host, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ageEntries()
	listed := map[wigeonfork.BackendServerID]bool{}
	for _, host := range hosts {
		switch host.Role {
		case infra.RoleEntry:
			f.entries[host.ID] = host
			f.noted[host.ID] = 0
		case infra.RoleAgent:
			listed[host.BackendServer] = true
			f.track(now, host)
		}
	}
	f.tracker.SetWarmSize(warmSize(len(listed)))
	f.carryOut(now, f.tracker.ApplyHostList(now, hosts, asOf))
	for id, s := range f.servers {
		if !listed[id] && s.state == routing.StateDead {
			delete(f.servers, id)
			f.router.Remove(id)
		}
	}
}

// smallFleet is the number of agents up to which all are polled while idle, so
// that each can be chosen at once.
const smallFleet = 64

func warmSize(agents int) int {
	if agents <= smallFleet {
		return max(agents, membership.DefaultWarmSize)
	}
	return membership.DefaultWarmSize
}

// want has idle servers of a route polled, since none of them can be chosen.
func (f *Fleet) want(route *template.Route) {
	wanted := 0
	for _, id := range f.tracker.Subset() {
		if route.Servers.Contains(id) && wanted < maxWanted {
			f.tracker.RequestPoll(id)
			wanted++
		}
	}
}

// maxWanted bounds the servers that one request has polled.
const maxWanted = 3

// listLag is how many readings of the list may lack an entry that has spoken
// before it is forgotten.
const listLag = 10

func (f *Fleet) ageEntries() {
	for id := range f.entries {
		if f.noted[id]++; f.noted[id] > listLag {
			delete(f.entries, id)
			delete(f.noted, id)
		}
	}
}

// AddEntry takes in an entry that has spoken, which the list may lack yet.
func (f *Fleet) AddEntry(host infra.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[host.ID] = host
	f.noted[host.ID] = 0
}

// track takes in an agent of the list, or its new address.
func (f *Fleet) track(now time.Time, host infra.Host) {
	known, ok := f.servers[host.BackendServer]
	if ok {
		if known.host.ControlAddress != host.ControlAddress {
			known.refused = false
		}
		known.host = host
		return
	}
	s := &server{host: host, state: routing.StateDead}
	f.servers[host.BackendServer] = s
	f.describe(s)
	f.router.SetState(now, host.BackendServer, routing.StateDead)
}
