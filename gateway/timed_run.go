package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork/rollout"
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
