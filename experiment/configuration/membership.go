package configuration

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/membership"
)

// Settings of the measurement of membership.
const (
	membershipTick     = 250 * time.Millisecond
	membershipDuration = 2 * time.Minute
	listInterval       = 10 * time.Second
	// pollBytes is the size of a request for a heartbeat before headers.
	pollBytes = 24
)

// membershipRow is what an entry spends on membership with so many backend
// servers known: idle, with no stream open, and loaded, with a stream open at
// every member of its subset that sends frames.
type membershipRow struct {
	servers   int
	loaded    bool
	usable    int
	bytes     float64
	processor float64
}

// entryRun drives one tracker and the agents that it polls.
type entryRun struct {
	now       time.Time
	tracker   *membership.Tracker
	agents    map[wigeonfork.BackendServerID]*membership.Identity
	hosts     []infra.Host
	bytes     int
	processor time.Duration
}

func newEntryRun(servers int) *entryRun {
	r := &entryRun{
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

func (r *entryRun) timed(work func()) {
	began := time.Now()
	work()
	r.processor += time.Since(began)
}

// step lets one tick pass. Under load every usable member sends frames.
func (r *entryRun) step(loaded bool) {
	r.now = r.now.Add(membershipTick)
	var polls []wigeonfork.BackendServerID
	r.timed(func() { polls = append(polls, r.tracker.Tick(r.now).Polls...) })
	for _, id := range polls {
		beat := r.agents[id].NextHeartbeat()
		r.bytes += pollBytes + heartbeatBytes(beat) + 2*packetOverheadBytes
		r.timed(func() { r.tracker.ReceiveHeartbeat(r.now, beat) })
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

func heartbeatBytes(beat membership.Heartbeat) int {
	data, err := cbor.Marshal(beat)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func measureMembership(servers int, loaded bool) membershipRow {
	r := newEntryRun(servers)
	listed := time.Time{}
	for end := r.now.Add(membershipDuration); r.now.Before(end); {
		if r.now.Sub(listed) >= listInterval {
			listed = r.now
			r.timed(func() { r.tracker.ApplyHostList(r.now, r.hosts, r.now) })
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

// writeMembership prints what an entry spends on membership, and returns the
// bytes a second at the largest size, idle and loaded.
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
			v.target(name+"bytes per s", row.bytes, targetBytes)
			v.target(name+"processor, % of a core", percent(row.processor), targetProcessor)
		}
	}
	return idle, loaded
}
