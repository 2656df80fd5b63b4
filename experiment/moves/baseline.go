package moves

import (
	"github.com/wigeonfork/wigeonfork"
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/rollout"
)

// timetableSteps are the shares of the baselines and when they are set, as a
// part of the time to the deadline.
var timetableSteps = []struct {
	share rollout.PerMille
	part  float64
}{{50, 0.30}, {250, 0.50}, {500, 0.65}, {rollout.AllTraffic, 0.80}}

const (
	// thresholdRate is the error rate over thresholdWindow at which the
	// threshold baseline takes a version back.
	thresholdRate    = 0.02
	thresholdWindow  = time.Minute
	thresholdMinimum = 50
	// spareServers is how many more servers hold the version than its share
	// needs.
	spareServers = 1.25
)

// timetable raises the version's share at fixed times, and loads it for each
// step from the step before. With a threshold it takes the version back by its
// rate of requests that did not end well.
type timetable struct {
	t         *trial
	threshold bool
	next      int
	now       rollout.State
	finished  time.Duration
	sequence  uint64
	windowEnd time.Duration
}

func newTimetable(t *trial, threshold bool) *timetable {
	return &timetable{t: t, threshold: threshold, now: rollout.StatePlanned}
}

func (b *timetable) state() (rollout.State, time.Duration) { return b.now, b.finished }

func (b *timetable) step(now time.Duration) {
	b.judge(now)
	if b.now == rollout.StateReverted {
		b.unload(newVersion)
		return
	}
	b.load()
	if b.now == rollout.StateDone && now > moveTime {
		b.unload(oldVersion)
	}
	if b.next >= len(timetableSteps) {
		return
	}
	step := timetableSteps[b.next]
	if float64(now) < step.part*float64(moveTime) {
		return
	}
	b.next++
	b.now = rollout.StateRamp
	if b.next == 1 {
		b.now = rollout.StateCanary
	}
	if step.share == rollout.AllTraffic {
		b.now = rollout.StateDone
		b.finished = now
	}
	b.set(now, step.share, false)
}

func (b *timetable) set(now time.Duration, share rollout.PerMille, stopped bool) {
	b.sequence++
	b.t.setShares(now, rollout.Shares{
		Move: moveID, Sequence: b.sequence, Old: oldVersion, New: newVersion, NewShare: share, Stopped: stopped,
	})
}

// judge compares the new version's error rate with the threshold.
func (b *timetable) judge(now time.Duration) {
	if now < b.windowEnd {
		return
	}
	b.windowEnd = now + thresholdWindow
	seen := b.t.counted
	b.t.counted = errorCount{}
	tooMany := seen.starts >= thresholdMinimum && float64(seen.errors) > thresholdRate*float64(seen.starts)
	if b.threshold && tooMany && b.now != rollout.StateReverted {
		b.now = rollout.StateReverted
		b.set(now, 0, true)
	}
}

func (b *timetable) load() {
	for i := range b.needed() {
		v := &b.t.servers[i]
		if !v.down && !v.new && v.remaining <= 0 {
			b.t.apply(v, backend.Order{Kind: backend.OrderLoad, Version: newVersion})
		}
	}
}

// needed returns how many backend servers the next step needs.
func (b *timetable) needed() int {
	next := timetableSteps[min(b.next, len(timetableSteps)-1)]
	servers := math.Ceil(spareServers * serverCount * float64(next.share) / float64(rollout.AllTraffic))
	return min(int(servers), serverCount)
}

func (b *timetable) unload(version wigeonfork.Version) {
	for i := range b.t.servers {
		b.t.apply(&b.t.servers[i], backend.Order{Kind: backend.OrderUnload, Version: version})
	}
}
