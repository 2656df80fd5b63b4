package capacity

import (
	"encoding/json"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/membership"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

// Names of the costs of an entry's decisions.
const (
	costChoose      = "route a request"
	costRouter      = "router memory"
	costOffer       = "admit and release a request"
	costAdmission   = "admission memory"
	costCheck       = "check a request for quarantine"
	costEngineDeath = "take in an engine death"
	costQuarantine  = "quarantine memory"
	costTick        = "membership tick"
	costTracker     = "membership memory"
	costPolls       = "polls while idle"
	costListRead    = "take in the host list"
	costListBytes   = "host list answer"
	costListDecode  = "decode the host list"
	costHostsMemory = "host list memory"
)

var (
	startTime  = time.Unix(1_000_000_000, 0)
	knownSizes = []int{100, 1_000, 10_000}
)

const (
	subsetSize     = membership.DefaultSubsetSize
	slotsPerServer = 32
	entryCapacity  = 1_600
)

func measureEntry(c *costs) {
	measureRouting(c)
	measureAdmission(c)
	measureQuarantine(c)
	measureMembership(c)
	measureHostList(c)
}

func newRouter(known int) *routing.Router {
	r := routing.New(routing.Options{Seed: 1, Domain: domainOf(0)})
	for i := range known {
		server := routing.Server{ID: serverID(i), Host: hostID(i), Domain: domainOf(i), Slots: slotsPerServer}
		if i < subsetSize {
			server.Versions = []routing.Deployment{{Model: "model-00", Version: "v1"}}
		}
		r.Upsert(server)
	}
	return r
}

func measureRouting(c *costs) {
	s := series{role: roleEntry, name: costChoose, unit: "us", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		r := newRouter(known)
		req := routing.Request{
			Workspace: workspaceID(0), Model: "model-00", Version: "v1", Class: wigeonfork.Class(1), PromptTokens: 900,
			Prefixes: []routing.Prefix{{Hash: 1, Tokens: 300}, {Hash: 2, Tokens: 900}},
		}
		var failed error
		micros, err := c.meter.micros(func(n int) {
			for range n {
				if _, err := r.Choose(startTime, req); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return 0, failed
		}
		return micros, err
	})
	s = series{role: roleEntry, name: costRouter, unit: "bytes", sizeUnit: "servers known", designSize: designAgents}
	c.addCounted(s, knownSizes, func(known int) float64 { return heapBytes(func() any { return newRouter(known) }) })
}

func admissionRequests(workspaces int) []admission.Request {
	const count = 16_384
	list := make([]admission.Request, count)
	for i := range list {
		list[i] = admission.Request{
			ID:        wigeonfork.RequestID(hostID(i)),
			Workspace: workspaceID(i % workspaces),
			Class:     wigeonfork.Class(1 + i%(wigeonfork.NumClasses-1)),
			Cost:      1,
		}
	}
	return list
}

// admit offers n requests. It keeps up to entryCapacity of them running and
// releases the oldest one for each further request.
func admit(control *admission.Controller, list []admission.Request, n int) {
	for i := range n {
		now := startTime.Add(time.Duration(i) * 6 * time.Millisecond)
		if i >= entryCapacity {
			control.Release(now, list[(i-entryCapacity)%len(list)].ID)
		}
		control.Offer(now, list[i%len(list)])
		control.Tick(now)
	}
}

func newAdmission() *admission.Controller {
	return admission.New(admission.Options{Seed: 1, Capacity: entryCapacity * 1.25, Policy: admission.RegnsamlerPolicy()})
}

func measureAdmission(c *costs) {
	sizes := []int{33, 330, 3_300}
	s := series{role: roleEntry, name: costOffer, unit: "us", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.add(s, sizes, func(workspaces int) (float64, error) {
		list := admissionRequests(workspaces)
		return c.meter.micros(func(n int) { admit(newAdmission(), list, n) })
	})
	s = series{role: roleEntry, name: costAdmission, unit: "bytes", sizeUnit: "workspaces", designSize: designWorkspaces}
	c.addCounted(s, sizes, func(workspaces int) float64 {
		list := admissionRequests(workspaces)
		return heapBytes(func() any {
			control := newAdmission()
			admit(control, list, len(list))
			return control
		})
	})
}

func keyOf(i int) quarantine.Key {
	var f quarantine.Fingerprint
	f[0], f[1], f[2] = byte(i), byte(i>>8), byte(i>>16)
	return quarantine.Key{Fingerprint: f, Version: "v1"}
}

// residentsPerEngine is the number of requests that an engine runs at once.
const residentsPerEngine = 16

func deathOf(i, suspects int) quarantine.Death {
	at := startTime.Add(time.Duration(i) * time.Second)
	d := quarantine.Death{At: at, ID: quarantine.DeathID{Server: serverID(i % designAgents), Incarnation: at.String()}}
	for j := range residentsPerEngine {
		d.Residents = append(d.Residents, quarantine.Resident{Key: keyOf((i*residentsPerEngine + j) % suspects), Ran: time.Second})
	}
	return d
}

func newDetector(suspects int) *quarantine.Detector {
	d := quarantine.New(quarantine.Options{})
	d.SetServerCount(designAgents)
	for i := range suspects / residentsPerEngine {
		d.EngineDied(startTime, deathOf(i, suspects))
	}
	return d
}

func measureQuarantine(c *costs) {
	sizes := []int{64, 1_024, 4_096}
	limit := float64(quarantine.DefaultMaxSuspects)
	s := series{role: roleEntry, name: costCheck, unit: "us", sizeUnit: "suspects", designSize: limit}
	c.add(s, sizes, func(suspects int) (float64, error) {
		d := newDetector(suspects)
		return c.meter.micros(func(n int) {
			for i := range n {
				d.Check(startTime, keyOf(i%(2*suspects)))
			}
		})
	})
	s = series{role: roleEntry, name: costEngineDeath, unit: "us", sizeUnit: "suspects", designSize: limit}
	c.add(s, sizes, func(suspects int) (float64, error) {
		d := newDetector(suspects)
		next := suspects
		return c.meter.micros(func(n int) {
			for range n {
				death := deathOf(next, suspects)
				d.EngineDied(death.At, death)
				next++
			}
		})
	})
	s = series{role: roleEntry, name: costQuarantine, unit: "bytes", sizeUnit: "suspects", designSize: limit}
	c.addCounted(s, sizes, func(suspects int) float64 { return heapBytes(func() any { return newDetector(suspects) }) })
}

// idleEntry drives a tracker. Each of its polls receives a heartbeat.
type idleEntry struct {
	now     time.Time
	tracker *membership.Tracker
	agents  map[wigeonfork.BackendServerID]*membership.Identity
	polls   int
}

// trackerTick is the tick interval of an entry's tracker.
const trackerTick = 100 * time.Millisecond

func newIdleEntry(known int) *idleEntry {
	e := &idleEntry{
		now:     startTime,
		tracker: membership.NewTracker(membership.Options{Entry: "entry"}),
		agents:  make(map[wigeonfork.BackendServerID]*membership.Identity, known),
	}
	for i := range known {
		e.agents[serverID(i)] = membership.NewIdentity(serverID(i), startTime, 0)
	}
	e.tracker.ApplyHostList(e.now, hosts(known), e.now)
	return e
}

func (e *idleEntry) tick() {
	e.now = e.now.Add(trackerTick)
	polls := append([]wigeonfork.BackendServerID(nil), e.tracker.Tick(e.now).Polls...)
	e.polls += len(polls)
	for _, id := range polls {
		e.tracker.ReceiveHeartbeat(e.now, e.agents[id].NextHeartbeat())
	}
}

func measureMembership(c *costs) {
	s := series{role: roleEntry, name: costTick, unit: "us", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		e := newIdleEntry(known)
		return c.meter.micros(func(n int) {
			for range n {
				e.tick()
			}
		})
	})
	s = series{role: roleEntry, name: costPolls, unit: "polls/s", sizeUnit: "servers known", designSize: designAgents}
	c.addCounted(s, knownSizes, func(known int) float64 {
		const seconds = 60
		e := newIdleEntry(known)
		for e.now.Sub(startTime) < seconds*time.Second {
			e.tick()
		}
		e.polls = 0
		for e.now.Sub(startTime) < 2*seconds*time.Second {
			e.tick()
		}
		return float64(e.polls) / seconds
	})
	s = series{role: roleEntry, name: costTracker, unit: "bytes", sizeUnit: "servers known", designSize: designAgents}
	c.addCounted(s, knownSizes, func(known int) float64 {
		return heapBytes(func() any {
			tracker := membership.NewTracker(membership.Options{Entry: "entry"})
			tracker.ApplyHostList(startTime, hosts(known), startTime)
			return tracker
		})
	})
	s = series{role: roleEntry, name: costListRead, unit: "us", sizeUnit: "servers known", designSize: designAgents}
	c.add(s, knownSizes, func(known int) (float64, error) {
		e, list := newIdleEntry(known), hosts(known)
		return c.meter.micros(func(n int) {
			for range n {
				e.now = e.now.Add(time.Second)
				e.tracker.ApplyHostList(e.now, list, e.now)
			}
		})
	})
}

func measureHostList(c *costs) {
	s := series{role: roleAll, name: costListBytes, unit: "bytes", sizeUnit: "hosts", designSize: designHosts}
	c.add(s, knownSizes, func(n int) (float64, error) {
		data, err := json.Marshal(httpinfra.HostsAnswer{Hosts: hosts(n), AsOf: startTime})
		return float64(len(data)), err
	})
	s = series{role: roleAll, name: costListDecode, unit: "us", sizeUnit: "hosts", designSize: designHosts}
	c.add(s, knownSizes, func(n int) (float64, error) {
		data, err := json.Marshal(httpinfra.HostsAnswer{Hosts: hosts(n), AsOf: startTime})
		if err != nil {
			return 0, err
		}
		return c.meter.micros(func(n int) {
			for range n {
				var answer httpinfra.HostsAnswer
				err = json.Unmarshal(data, &answer)
			}
		})
	})
	s = series{role: roleAll, name: costHostsMemory, unit: "bytes", sizeUnit: "hosts", designSize: designHosts}
	c.addCounted(s, knownSizes, func(n int) float64 { return heapBytes(func() any { return hosts(n) }) })
}
