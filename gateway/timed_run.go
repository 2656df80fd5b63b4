package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork/rollout"
)

const (
	// timedFactor is the age at which it is counted whether a run is slow, relative to the age at
	// which one without an answer is. It leaves time to measure the pace of its tokens.
	timedFactor = 1.25
	// maxTimedAge is the age at which a run is given up for which no limit is known.
	maxTimedAge = 30 * time.Second
)

// timedRun is one run whose time is compared between versions. Its state is guarded by the lock of
// versionMoves.
type timedRun struct {
	place *placement
	route string
	// metric is the one that says how long a run may be without an answer.
	metric rollout.Metric
	// begun is set once the run has answered, and slow once a measurement was slow.
	begun bool
	slow  bool
	// gap is the mean time between two tokens so far; 0 if it is not known.
	gap time.Duration
}

// timeRun begins to time a run.
func (c *call) timeRun(p *placement, metric rollout.Metric) *timedRun {
	t := &timedRun{place: p, route: c.route.Name, metric: metric}
	c.moves.await(t)
	return t
}

// await begins to time a run, if its service is under a trial.
func (v *versionMoves) await(t *timedRun) {
	v.mu.Lock()
	defer v.mu.Unlock()
	move := v.moves[t.place.Service]
	if move == nil {
		return
	}
	if stage, _ := move.Stage(); stage == rollout.StageTrial {
		v.waiting[t] = struct{}{}
	}
}

// begun records that a run has answered.
func (v *versionMoves) begun(t *timedRun) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t.begun = true
}

// drop ends the timing of a run that says nothing about its version.
func (v *versionMoves) drop(t *timedRun) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.waiting, t)
}

// measured adds a measurement of a run. Those of a version under trial are not learned.
func (v *versionMoves) measured(t *timedRun, metric rollout.Metric, value time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	service, route := t.place.Service, rollout.Route(t.route)
	if limit, known := v.baselines.SlowLimit(service, route, metric); known && value > limit {
		t.slow = true
	}
	move := v.moves[service]
	if move == nil || move.Trusts(t.place.Version) {
		v.baselines.Add(service, route, metric, value)
	}
}

// countTimed counts the runs that are old enough to be known as slow.
func (v *versionMoves) countTimed(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for t := range v.waiting {
		limit, known := v.baselines.SlowLimit(t.place.Service, rollout.Route(t.route), t.metric)
		age := now.Sub(t.place.sentAt)
		switch {
		case known && age >= time.Duration(timedFactor*float64(limit)):
			delete(v.waiting, t)
			v.moves[t.place.Service].Timed(t.place.Version, rollout.Route(t.route), v.isSlowLocked(t))
		case age > maxTimedAge:
			delete(v.waiting, t)
		}
	}
}

// isSlowLocked reports whether a run is slow as far as known. The lock must be held.
func (v *versionMoves) isSlowLocked(t *timedRun) bool {
	if t.slow || !t.begun {
		return true
	}
	limit, known := v.baselines.SlowLimit(t.place.Service, rollout.Route(t.route), rollout.MetricTokenGap)
	return known && t.gap > limit
}

// paced records the mean time between two tokens of a run so far.
func (v *versionMoves) paced(t *timedRun, gap time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t.gap = gap
}
