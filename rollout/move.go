package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

const (
	recordRetryInterval = time.Second
	// holdSuspicion is the suspicion from which the share is not raised. maxHoldFraction
	// bounds that delay, as a fraction of the time from the start to the deadline.
	holdSuspicion   = 0.5
	maxHoldFraction = 0.05
	// minStageFraction is the minimum time at a share when a move has to catch up, as a
	// fraction of the time from the start to the deadline.
	minStageFraction = 0.01
	// unloadDelay is the time between the end of the watch, which is announced to all
	// entries, and the first unload of the old version. A stop is still accepted during it.
	unloadDelay = 10 * time.Second
	// watchShare is the share of the new version during the watch after the finish.
	watchShare PerMille = 950
)

// The events of a move's life cycle.
const (
	eventStart    = "start"
	eventRaise    = "raise"
	eventFinish   = "finish"
	eventRevert   = "take_back"
	eventReverted = "reverted"
)

// lifeCycle lists the transitions between a move's states.
var lifeCycle = fsm.Events{
	{Name: eventStart, Src: []string{string(StatePlanned)}, Dst: string(StateCanary)},
	{Name: eventRaise, Src: []string{string(StateCanary), string(StateRamp)}, Dst: string(StateRamp)},
	{Name: eventFinish, Src: []string{string(StateCanary), string(StateRamp)}, Dst: string(StateDone)},
	{
		Name: eventRevert,
		Src:  []string{string(StatePlanned), string(StateCanary), string(StateRamp), string(StateDone)},
		Dst:  string(StateReverting),
	},
	{Name: eventReverted, Src: []string{string(StateReverting)}, Dst: string(StateReverted)},
}

// eventTo maps a state to the event that leads to it.
var eventTo = map[State]string{
	StateCanary:    eventStart,
	StateRamp:      eventRaise,
	StateDone:      eventFinish,
	StateReverting: eventRevert,
	StateReverted:  eventReverted,
}

// Move is the life cycle of one move, driven by the holder of its lease. A step forward takes
// effect only after it is stored in the table. A revert takes effect at once and is stored
// afterwards. It is not safe for concurrent use.
type Move struct {
	plan            Plan
	fencing         wigeonfork.FencingNumber
	machine         *fsm.FSM
	fleet           fleet
	verdict         Verdict
	record          Record
	revision        infra.Revision
	sharesSequence  uint64 // of the last Shares
	reason          string // why the move is reverted
	sharesAnnounced bool
	finalAnnounced  bool

	pending           *Record
	operationInFlight string
	nextWrite         time.Time
	recordCount       uint64
	deposed           bool
}

// NewMove returns a Move that continues from the recorded row, which does not exist for a new
// move. Fencing is the fencing number of the lease just acquired. Only one Move may be created
// for a plan under one fencing number, because the ids of its operations contain that number.
func NewMove(plan Plan, row infra.Row, fencing wigeonfork.FencingNumber) (*Move, error) {
	plan = plan.WithDefaults()
	record, err := DecodeRecord(row)
	if err != nil {
		return nil, err
	}
	if record.Fencing > fencing {
		return nil, errors.Newf("move %s: fencing number %d is older than the record's %d", plan.ID, fencing, record.Fencing)
	}
	m := &Move{
		plan:     plan,
		fencing:  fencing,
		machine:  fsm.NewFSM(string(record.State), lifeCycle, nil),
		fleet:    newFleet(plan),
		record:   record,
		revision: row.Revision,
	}
	m.setPending(record)
	return m, nil
}

// Step handles one event and returns the actions to carry out.
func (m *Move) Step(now time.Time, event Event) []Action {
	if m.deposed {
		return nil
	}
	var actions []Action
	switch e := event.(type) {
	case VerdictUpdated:
		m.verdict = e.Verdict
		if e.Verdict.Stop {
			actions = m.revert(now, stopReason(e.Verdict))
		}
	case StopRequested:
		actions = m.revert(now, e.Reason)
	case RecordDone:
		actions = m.recordDone(now, e)
	case OrderDone:
		m.deposed = m.fleet.orderDone(now, e)
	case ServerReport:
		m.fleet.applyReport(now, e)
	case ServerAdded:
		m.fleet.add(e.Server)
	}
	if m.deposed {
		return nil
	}
	return append(actions, m.advance(now)...)
}

func stopReason(v Verdict) string {
	if v.StoppedBy != "" {
		return "stopped by " + v.StoppedBy + " on its own evidence"
	}
	if len(v.Reasons) == 0 {
		return "stopped by the judge"
	}
	return v.Reasons[0].String()
}

// revert stops the new version at once. The record is written afterwards. It does nothing once
// the old version is being unloaded, because there is then no version to go back to.
func (m *Move) revert(now time.Time, reason string) []Action {
	if !m.machine.Can(eventRevert) || (m.state() == StateDone && m.unloadingOld(now)) {
		return nil
	}
	m.transition(eventRevert)
	m.finalAnnounced = false
	m.reason = reason
	m.setPending(m.revertingRecord())
	return []Action{m.nextShares(now)}
}

// revertingRecord returns the record of a move that is being reverted.
func (m *Move) revertingRecord() Record {
	next := m.record
	next.State = StateReverting
	next.Share = 0
	next.Reason = m.reason
	return next
}

func (m *Move) transition(event string) {
	if err := m.machine.Event(context.Background(), event); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "move %s", m.plan.ID))
	}
}

func (m *Move) state() State { return State(m.machine.Current()) }

func (m *Move) stopped() bool {
	return m.state() == StateReverting || m.state() == StateReverted
}

// nextShares returns the current shares under a new sequence number. During the watch after
// the finish, the old version keeps some traffic for comparison.
func (m *Move) nextShares(now time.Time) SetShares {
	m.sharesSequence++
	m.sharesAnnounced = true
	final := m.state() == StateDone && m.watchEnded(now)
	share := m.record.Share
	switch {
	case m.stopped():
		share = 0
	case m.state() == StateDone && !final:
		share = watchShare
	}
	m.finalAnnounced = final
	return SetShares{Shares: Shares{
		Move: m.plan.ID, Fencing: m.fencing, Sequence: m.sharesSequence,
		Old: m.plan.From, New: m.plan.To, NewShare: share, Stopped: m.stopped(), Final: final,
	}}
}

// advance takes the steps that are due at now.
func (m *Move) advance(now time.Time) []Action {
	var actions []Action
	if m.stopped() && !m.sharesAnnounced {
		actions = append(actions, m.nextShares(now))
	}
	if m.state() == StateDone && m.watchEnded(now) && !m.finalAnnounced {
		actions = append(actions, m.nextShares(now))
	}
	if m.pending == nil {
		m.proposeStep(now)
	}
	if m.overdue(now) {
		actions = append(actions, m.revert(now, "not finished by the deadline")...)
	}
	actions = append(actions, m.sendPending(now)...)
	if m.record.Fencing != m.fencing {
		return actions
	}
	return append(actions, m.dueOrders(now)...)
}

func (m *Move) overdue(now time.Time) bool {
	switch m.state() {
	case StatePlanned, StateCanary, StateRamp:
		return !now.Before(m.plan.Deadline)
	default:
		return false
	}
}

// proposeStep puts the next step, if one is due, into the pending record.
func (m *Move) proposeStep(now time.Time) {
	switch m.state() {
	case StatePlanned:
		if m.fleet.readyFor(m.plan, m.plan.CanaryShare) {
			m.proposeShare(now, StateCanary, m.plan.CanaryShare)
		}
	case StateCanary, StateRamp:
		m.proposeNextStage(now)
	case StateDone:
		if !m.record.Closed && m.unloadingOld(now) && m.fleet.unloadFinished(now) {
			m.proposeClose(now, StateDone)
		}
	case StateReverting:
		if m.fleet.unloadFinished(now) {
			m.proposeClose(now, StateReverted)
		}
	}
}

func (m *Move) proposeNextStage(now time.Time) {
	stage, due, found := m.nextStage()
	if !found || now.Before(due) || m.onHold(now, due) {
		return
	}
	minStageTime := time.Duration(minStageFraction * float64(m.plan.Deadline.Sub(m.plan.Start)))
	if now.Sub(m.record.RaisedAt) < minStageTime || m.verdict.NewStarts < m.plan.MinStarts {
		return
	}
	if !m.fleet.readyFor(m.plan, stage.share) {
		return
	}
	next := StateRamp
	if stage.share >= AllTraffic {
		next = StateDone
	}
	m.proposeShare(now, next, stage.share)
}

// nextStage returns the stage after the recorded share and when it is due.
func (m *Move) nextStage() (rampStage, time.Time, bool) {
	for i, stage := range rampStages {
		if stage.share > m.record.Share {
			return stage, m.plan.stageTime(i), true
		}
	}
	return rampStage{}, time.Time{}, false
}

// onHold reports whether the evidence is too strong to raise the share now.
func (m *Move) onHold(now, due time.Time) bool {
	maxHold := time.Duration(maxHoldFraction * float64(m.plan.Deadline.Sub(m.plan.Start)))
	return m.verdict.Suspicion >= holdSuspicion && now.Sub(due) < maxHold
}

func (m *Move) proposeShare(now time.Time, state State, share PerMille) {
	next := m.record
	next.State = state
	next.Share = share
	next.RaisedAt = now
	if state == StateDone {
		next.FinishedAt = now
	}
	m.setPending(next)
}

func (m *Move) proposeClose(now time.Time, state State) {
	next := m.record
	next.State = state
	next.Closed = true
	if state == StateReverted {
		next.FinishedAt = now
	}
	m.setPending(next)
}

// watchEnd returns when the watch after the finish ends. It ends early enough that the new version
// gets all traffic and the unloads start by the deadline, unless the move finished too late.
func (m *Move) watchEnd() time.Time {
	end := m.record.FinishedAt.Add(m.plan.WatchPeriod)
	latest := m.plan.Deadline.Add(-unloadDelay)
	if latest.Before(m.record.FinishedAt) {
		latest = m.record.FinishedAt
	}
	if latest.Before(end) {
		return latest
	}
	return end
}

func (m *Move) watchEnded(now time.Time) bool { return !now.Before(m.watchEnd()) }

// unloadingOld reports whether the old version is being unloaded. The move can then no longer be
// reverted.
func (m *Move) unloadingOld(now time.Time) bool {
	return !now.Before(m.watchEnd().Add(unloadDelay))
}

// dueOrders returns the orders that are due.
func (m *Move) dueOrders(now time.Time) []Action {
	switch m.state() {
	case StatePlanned, StateCanary, StateRamp:
		return m.fleet.dueLoads(now, m.plan, m.fencing)
	case StateDone:
		if m.record.Closed {
			return nil
		}
		if !m.unloadingOld(now) {
			return m.fleet.dueLoads(now, m.plan, m.fencing)
		}
		return m.fleet.dueUnloads(now, m.plan, m.plan.From, m.fencing)
	case StateReverting:
		return m.fleet.dueUnloads(now, m.plan, m.plan.To, m.fencing)
	default:
		return nil
	}
}
