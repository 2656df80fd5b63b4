package moves

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/rollout"

	"github.com/cockroachdb/errors"
)

// policy is a way to drive a move.
type policy string

const (
	policyRollout   policy = "rollout"
	policyTimetable policy = "timetable"
	policyThreshold policy = "threshold"
)

var allPolicies = []policy{policyRollout, policyTimetable, policyThreshold}

const (
	moveID                     = "m"
	weightBytes          int64 = 40_000_000_000
	weightRate           int64 = 2_500_000_000
	localVerdictInterval       = 2 * time.Second
	evidenceLossRate           = 0.05
	takeoverChance             = 0.3
	takeoverGap                = 8 * time.Second
	responseLossRate           = 0.05
	serverReportInterval       = 3 * time.Second
)

func newDriver(p policy, t *trial) driver {
	if p == policyRollout {
		return newController(t)
	}
	return newTimetable(t, p == policyThreshold)
}

// controller drives a rollout.Move over a table that can be unavailable and loses
// responses. In some of the moves the lease passes to a new holder once.
type controller struct {
	t          *trial
	plan       rollout.Plan
	judge      *rollout.Judge
	move       *rollout.Move
	fencing    wigeonfork.FencingNumber
	row        infra.Row
	applied    map[string]infra.Revision
	takeoverAt time.Duration
	finished   time.Duration
}

func newController(t *trial) *controller {
	plan := rollout.Plan{
		ID: moveID, Scope: "d", Model: "m", From: oldVersion, To: newVersion,
		Start: clockStart, Deadline: at(moveTime), WeightBytes: weightBytes, RateBytesPerSecond: weightRate,
	}
	for _, v := range t.servers {
		plan.Servers = append(plan.Servers, v.Server)
	}
	c := &controller{t: t, plan: plan, applied: make(map[string]infra.Revision), takeoverAt: -1}
	if t.r.Float64() < takeoverChance {
		c.takeoverAt = time.Duration(t.r.Float64() * float64(moveTime))
	}
	c.acquireLease()
	return c
}

// acquireLease continues the move as a new holder, which knows only the stored row.
func (c *controller) acquireLease() {
	c.fencing++
	c.judge = rollout.NewJudge(rollout.JudgeConfig{FalseStopProbability: rollout.DefaultFalseStopProbability / 2, Horizon: moveTime})
	move, err := rollout.NewMove(c.plan, c.row, c.fencing)
	if err != nil {
		panic(err)
	}
	c.move = move
}

func (c *controller) state() (rollout.State, time.Duration) {
	return c.move.State(), c.finished
}

func (c *controller) step(now time.Duration) {
	if c.takeoverAt >= 0 && now >= c.takeoverAt && now < c.takeoverAt+takeoverGap {
		c.collectEvidence(now)
		return
	}
	if c.takeoverAt >= 0 && now >= c.takeoverAt+takeoverGap {
		c.takeoverAt = -1
		c.acquireLease()
	}
	c.collectEvidence(now)
	if now%serverReportInterval == 0 {
		c.reportServers(now)
	}
	c.stepMove(now, rollout.VerdictUpdated{Verdict: c.judge.Verdict()})
	c.stepMove(now, rollout.Tick{})
}

// collectEvidence merges the entries' evidence. Each entry also evaluates its own
// evidence and can stop the version by itself.
func (c *controller) collectEvidence(now time.Duration) {
	for _, e := range c.t.entries {
		evidence := e.collector.Flush(at(now))
		c.t.measureReportSize(now, &evidence)
		e.localJudge.Merge(at(now), evidence)
		if !e.splitter.Stopped() && now%localVerdictInterval == 0 && e.localJudge.Verdict().Stop && e.splitter.Stop() {
			e.collector.MarkStopped()
			c.t.recordStop(now)
		}
		if c.t.r.Float64() < evidenceLossRate {
			continue
		}
		c.judge.Merge(at(now), evidence)
	}
}

// reportServers reports which versions the backend servers hold.
func (c *controller) reportServers(now time.Duration) {
	for i := range c.t.servers {
		v := &c.t.servers[i]
		c.stepMove(now, rollout.ServerReport{Server: v.ID, Down: v.down, OldReady: v.holdsOld, NewReady: v.holdsNew})
	}
}

// stepMove passes an event to the move and executes what the move requests.
func (c *controller) stepMove(now time.Duration, event rollout.Event) {
	queue := c.move.Step(at(now), event)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case rollout.SetShares:
			c.t.setShares(now, a.Shares)
		case rollout.WriteRecord:
			queue = append(queue, c.move.Step(at(now), c.commit(now, a.Transaction))...)
		case rollout.SendOrder:
			err := c.t.order(a.Server, a.Order)
			queue = append(queue, c.move.Step(at(now), rollout.OrderDone{Server: a.Server, Kind: a.Order.Kind, Err: err})...)
		}
	}
}

// readFinished reads the time at which the move finished from the stored row.
func (c *controller) readFinished() {
	record, err := rollout.DecodeRecord(c.row)
	if err != nil {
		panic(err)
	}
	c.finished = record.FinishedAt.Sub(clockStart)
}

var (
	errStoreUnavailable = errors.New("store is unavailable")
	errResponseLost     = errors.New("response lost")
	errDown             = errors.New("backend server is down")
)

func (c *controller) commit(now time.Duration, tx infra.Transaction) rollout.RecordDone {
	done := rollout.RecordDone{OperationID: tx.OperationID}
	d := &c.t.incident
	if now >= d.outageFrom && now < d.outageUntil {
		done.Err = infra.NewError(infra.OutcomeNotDone, "commit", "table", errStoreUnavailable)
		return done
	}
	revision, known := c.applied[tx.OperationID]
	switch {
	case known:
		done.Commit = infra.Commit{Applied: true, Revision: revision}
	case tx.Conditions[0].Revision != c.row.Revision:
		done.Commit = infra.Commit{Conflicts: []infra.Row{c.row}}
	default:
		c.row = infra.Row{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: c.row.Revision + 1}
		c.applied[tx.OperationID] = c.row.Revision
		done.Commit = infra.Commit{Applied: true, Revision: c.row.Revision}
		c.readFinished()
	}
	if c.t.r.Float64() < responseLossRate {
		done.Err = infra.NewError(infra.OutcomeUnknown, "commit", "table", errResponseLost)
	}
	return done
}

// order executes an order on a backend server. It fails if the server is down.
func (t *trial) order(id wigeonfork.BackendServerID, order backend.Order) error {
	for i := range t.servers {
		v := &t.servers[i]
		if v.ID != id {
			continue
		}
		if v.down {
			return infra.NewError(infra.OutcomeNotDone, "order", string(id), errDown)
		}
		t.apply(v, order)
	}
	return nil
}

func (t *trial) apply(v *server, order backend.Order) {
	switch {
	case order.Kind == backend.OrderLoad && !v.holdsNew && v.weightBytesLeft <= 0:
		v.weightBytesLeft = float64(weightBytes)
	case order.Kind == backend.OrderUnload && order.Version == newVersion:
		v.holdsNew = false
		v.weightBytesLeft = 0
	case order.Kind == backend.OrderUnload:
		v.holdsOld = false
	}
}
