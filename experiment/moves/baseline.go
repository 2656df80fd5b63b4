package moves

import (
	"github.com/wigeonfork/wigeonfork"
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/rollout"
)

// timetableSteps lists the traffic shares of the baselines. Each is set after a
// fraction of the time to the deadline.
var timetableSteps = []struct {
	share            rollout.PerMille
	deadlineFraction float64
}{{50, 0.30}, {250, 0.50}, {500, 0.65}, {rollout.AllTraffic, 0.80}}

const (
	// thresholdRate is the error rate over thresholdWindow above which the
	// threshold baseline reverts a version.
	thresholdRate      = 0.02
	thresholdWindow    = time.Minute
	thresholdMinStarts = 50
	// serverMargin is the ratio of the servers that hold the version to those that
	// its share needs.
	serverMargin = 1.25
)

// timetable raises the version's share at fixed times, and loads the version one
// step ahead. With a threshold, it reverts a version whose error rate is too high.
type timetable struct {
	t         *trial
	threshold bool
	nextStep  int
	current   rollout.State
	finished  time.Duration
	sequence  uint64
	windowEnd time.Duration
}

func newTimetable(t *trial, threshold bool) *timetable {
	return &timetable{t: t, threshold: threshold, current: rollout.StatePlanned}
}

func (b *timetable) state() (rollout.State, time.Duration) { return b.current, b.finished }

func (b *timetable) step(now time.Duration) {
	b.checkThreshold(now)
	if b.current == rollout.StateReverted {
		b.unloadServers(newVersion)
		return
	}
	b.loadServers()
	if b.current == rollout.StateDone && now > moveTime {
		b.unloadServers(oldVersion)
	}
	if b.nextStep >= len(timetableSteps) {
		return
	}
	step := timetableSteps[b.nextStep]
	if float64(now) < step.deadlineFraction*float64(moveTime) {
		return
	}
	b.nextStep++
	b.current = rollout.StateRamp
	if b.nextStep == 1 {
		b.current = rollout.StateCanary
	}
	if step.share == rollout.AllTraffic {
		b.current = rollout.StateDone
		b.finished = now
	}
	b.setShare(now, step.share, false)
}

func (b *timetable) setShare(now time.Duration, share rollout.PerMille, stopped bool) {
	b.sequence++
	b.t.setShares(now, rollout.Shares{
		Move: moveID, Sequence: b.sequence, Old: oldVersion, New: newVersion, NewShare: share, Stopped: stopped,
	})
}

// checkThreshold compares the new version's error rate in each window with the
// threshold.
func (b *timetable) checkThreshold(now time.Duration) {
	if now < b.windowEnd {
		return
	}
	b.windowEnd = now + thresholdWindow
	window := b.t.newVersionErrors
	b.t.newVersionErrors = errorCount{}
	tooMany := window.starts >= thresholdMinStarts && float64(window.errors) > thresholdRate*float64(window.starts)
	if b.threshold && tooMany && b.current != rollout.StateReverted {
		b.current = rollout.StateReverted
		b.setShare(now, 0, true)
	}
}

func (b *timetable) loadServers() {
	for i := range b.serversNeeded() {
		v := &b.t.servers[i]
		if !v.down && !v.holdsNew && v.weightBytesLeft <= 0 {
			b.t.apply(v, backend.Order{Kind: backend.OrderLoad, Version: newVersion})
		}
	}
}

// serversNeeded returns how many backend servers the next step needs.
func (b *timetable) serversNeeded() int {
	next := timetableSteps[min(b.nextStep, len(timetableSteps)-1)]
	servers := math.Ceil(serverMargin * serverCount * float64(next.share) / float64(rollout.AllTraffic))
	return min(int(servers), serverCount)
}

func (b *timetable) unloadServers(version wigeonfork.Version) {
	for i := range b.t.servers {
		b.t.apply(&b.t.servers[i], backend.Order{Kind: backend.OrderUnload, Version: version})
	}
}
