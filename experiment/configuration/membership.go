package configuration

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
)

// Parameters of the membership measurement.
const (
	membershipTick     = 250 * time.Millisecond
	membershipDuration = 2 * time.Minute
	listInterval       = 10 * time.Second
	// pollBytes is the size of a heartbeat request without headers.
	pollBytes = 24
)

// membershipRow is the membership cost of an entry for a number of known backend
// servers, in bytes and microseconds a second. If loaded is set, a stream that sends
// frames is open at every usable member of its subset. Otherwise no stream is open.
type membershipRow struct {
	servers   int
	loaded    bool
	usable    int
	bytes     float64
	processor float64
}

// entrySimulation drives one tracker and the agents that it polls.
type entrySimulation struct {
	now       time.Time
	tracker   *membership.Tracker
	agents    map[wigeonfork.BackendServerID]*membership.Identity
	hosts     []infra.Host
	bytes     int
	processor time.Duration
}

func newEntrySimulation(servers int) *entrySimulation {
	r := &entrySimulation{
		now:     time.Unix(0, 0),
		tracker: membership.NewTracker(membership.Options{Entry: "entry"}),
		agents:  make(map[wigeonfork.BackendServerID]*membership.Identity, servers),
	}
	for i := range servers {
		id := wigeonfork.BackendServerID(fmt.Sprintf("server-%05d", i))
		r.agents[id] = membership.NewIdentity(id, r.now, 0)
		r.hosts = append(r.hosts, infra.Host{
			Role: infra.RoleAgent, State: infra.HostLive, BackendServer: id,
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("domain-%02d", i%domainCount)),
		})
	}
	return r
}

func (r *entrySimulation) measureTime(work func()) {
	r.processor += processorTime(work)
}

// step advances the time by one tick. Under load every usable member of the subset
// sends a frame.
func (r *entrySimulation) step(loaded bool) {
	r.now = r.now.Add(membershipTick)
	var polls []wigeonfork.BackendServerID
	r.measureTime(func() { polls = append(polls, r.tracker.Tick(r.now).Polls...) })
	for _, id := range polls {
		heartbeat := r.agents[id].NextHeartbeat()
		r.bytes += pollBytes + heartbeatBytes(heartbeat) + 2*packetOverheadBytes
		r.measureTime(func() { r.tracker.ReceiveHeartbeat(r.now, heartbeat) })
	}
	if !loaded {
		return
	}
	for _, id := range r.tracker.Subset() {
		if r.tracker.Usable(r.now, id) {
			r.tracker.SetStreams(id, 1)
			r.tracker.ReceiveFrame(r.now, id, r.agents[id].Incarnation())
		}
	}
}

func heartbeatBytes(heartbeat membership.Heartbeat) int {
	data, err := cbor.Marshal(heartbeat)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func measureMembership(servers int, loaded bool) membershipRow {
	r := newEntrySimulation(servers)
	lastListed := time.Time{}
	for end := r.now.Add(membershipDuration); r.now.Before(end); {
		if r.now.Sub(lastListed) >= listInterval {
			lastListed = r.now
			r.measureTime(func() { r.tracker.ApplyHostList(r.now, r.hosts, r.now) })
		}
		r.step(loaded)
	}
	seconds := membershipDuration.Seconds()
	return membershipRow{
		servers:   servers,
		loaded:    loaded,
		usable:    r.tracker.UsableCount(r.now),
		bytes:     float64(r.bytes) / seconds,
		processor: microseconds(r.processor) / seconds,
	}
}

// writeMembership prints the membership costs of an entry. It returns the bytes a
// second at the largest size, idle and loaded.
func writeMembership(v *verdicts) (idle, loaded float64) {
	v.text("\nmembership: one entry, subset of %d, list read every %s, bytes sent and received without frames\n",
		membership.DefaultSubsetSize, listInterval)
	v.text("  %8s %8s %8s %10s %16s\n", "servers", "streams", "usable", "bytes /s", "processor us /s")
	for _, servers := range []int{100, 1000, 10_000} {
		for _, streams := range []bool{false, true} {
			row := measureMembership(servers, streams)
			if streams {
				loaded = row.bytes
			} else {
				idle = row.bytes
			}
			v.text("  %8d %8t %8d %10.0f %16.1f\n", row.servers, row.loaded, row.usable, row.bytes, row.processor)
			name := fmt.Sprintf("  %d backend servers, streams %t: ", servers, streams)
			v.target(name+"bytes per s", row.bytes, targetBytesPerSecond)
			v.target(name+"processor, % of a core", percent(row.processor), targetProcessorPercent)
		}
	}
	return idle, loaded
}
