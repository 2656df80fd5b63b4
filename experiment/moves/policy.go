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
	moveID                = "m"
	weightBytes     int64 = 40_000_000_000
	weightRate      int64 = 2_500_000_000
	localInterval         = 2 * time.Second
	evidenceLoss          = 0.05
	takeoverChance        = 0.3
	takeoverGap           = 8 * time.Second
	answerLossPart        = 0.05
	serverReportGap       = 3 * time.Second
)

func newDriver(p policy, t *trial) driver {
	if p == policyRollout {
		return newController(t)
	}
	return newTimetable(t, p == policyThreshold)
}

// controller drives a rollout.Move over a table that can be out and loses
// answers, and hands the lease over once in some of the moves.
type controller struct {
	t        *trial
	plan     rollout.Plan
	judge    *rollout.Judge
	move     *rollout.Move
	fencing  wigeonfork.FencingNumber
	row      infra.Row
	applied  map[string]infra.Revision
	takeover time.Duration
	finished time.Duration
}

func newController(t *trial) *controller {
	plan := rollout.Plan{
		ID: moveID, Scope: "d", Model: "m", From: oldVersion, To: newVersion,
		Start: clockStart, Deadline: at(moveTime), WeightBytes: weightBytes, RateBytesPerSecond: weightRate,
	}
	for _, v := range t.servers {
		plan.Servers = append(plan.Servers, v.Server)
	}
	c := &controller{t: t, plan: plan, applied: make(map[string]infra.Revision), takeover: -1}
	if t.r.Float64() < takeoverChance {
		c.takeover = time.Duration(t.r.Float64() * float64(moveTime))
	}
	c.take()
	return c
}

// take makes this the work of a new holder, which knows the row only.
func (c *controller) take() {
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
	if c.takeover >= 0 && now >= c.takeover && now < c.takeover+takeoverGap {
		c.local(now)
		return
	}
	if c.takeover >= 0 && now >= c.takeover+takeoverGap {
		c.takeover = -1
		c.take()
	}
	c.local(now)
	if now%serverReportGap == 0 {
		c.report(now)
	}
	c.drive(now, rollout.VerdictUpdated{Verdict: c.judge.Verdict()})
	c.drive(now, rollout.Tick{})
}

// local gathers the entries' evidence and lets each judge by its own.
func (c *controller) local(now time.Duration) {
	for _, e := range c.t.entries {
		evidence := e.collector.Flush(at(now))
		c.t.measure(now, &evidence)
		e.local.Merge(at(now), evidence)
		if !e.gate.Stopped() && now%localInterval == 0 && e.local.Verdict().Stop && e.gate.Stop() {
			e.collector.MarkStopped()
			c.t.noteStop(now)
		}
		if c.t.r.Float64() < evidenceLoss {
			continue
		}
		c.judge.Merge(at(now), evidence)
	}
}

// report tells what the backend servers hold.
func (c *controller) report(now time.Duration) {
	for i := range c.t.servers {
		v := &c.t.servers[i]
		c.drive(now, rollout.ServerReport{Server: v.ID, Down: v.down, OldReady: v.old, NewReady: v.new})
	}
}

// drive steps the move and carries out what it asks for.
func (c *controller) drive(now time.Duration, event rollout.Event) {
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

// noteFinish reads from the table when the move was finished.
func (c *controller) noteFinish() {
	record, err := rollout.DecodeRecord(c.row)
	if err != nil {
		panic(err)
	}
	c.finished = record.FinishedAt.Sub(clockStart)
}

var (
	errStoreOut   = errors.New("store is out")
	errAnswerLost = errors.New("answer lost")
	errDown       = errors.New("backend server is down")
)

func (c *controller) commit(now time.Duration, tx infra.Transaction) rollout.RecordDone {
	done := rollout.RecordDone{OperationID: tx.OperationID}
	d := &c.t.disturb
	if now >= d.outageFrom && now < d.outageUntil {
		done.Err = infra.NewError(infra.OutcomeNotDone, "commit", "table", errStoreOut)
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
		c.noteFinish()
	}
	if c.t.r.Float64() < answerLossPart {
		done.Err = infra.NewError(infra.OutcomeUnknown, "commit", "table", errAnswerLost)
	}
	return done
}

// order carries out an order on a backend server.
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
	case order.Kind == backend.OrderLoad && !v.new && v.remaining <= 0:
		v.remaining = float64(weightBytes)
	case order.Kind == backend.OrderUnload && order.Version == newVersion:
		v.new = false
		v.remaining = 0
	case order.Kind == backend.OrderUnload:
		v.old = false
	}
}
