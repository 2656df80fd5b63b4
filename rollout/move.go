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
	recordRetry = time.Second
	// holdAt is the suspicion from which no share is raised, and holdPart
	// for how long at most, as a part of the time to the deadline.
	holdAt   = 0.5
	holdPart = 0.05
	// stagePart is the least time at a share, as a part of the time to the
	// deadline, when a move has to catch up.
	stagePart = 0.01
	// finalDelay is the time between the end of the watch, which is made
	// known to all, and the first unload of the old version. A stop is
	// still taken in it.
	finalDelay = 10 * time.Second
	// watchShare is what the new version gets while it is watched.
	watchShare PerMille = 950
)

// The events of a move's life cycle.
const (
	eventStart    = "start"
	eventRaise    = "raise"
	eventFinish   = "finish"
	eventTakeBack = "take_back"
	eventReverted = "reverted"
)

// lifeCycle is the table of a move's states.
var lifeCycle = fsm.Events{
	{Name: eventStart, Src: []string{string(StatePlanned)}, Dst: string(StateCanary)},
	{Name: eventRaise, Src: []string{string(StateCanary), string(StateRamp)}, Dst: string(StateRamp)},
	{Name: eventFinish, Src: []string{string(StateCanary), string(StateRamp)}, Dst: string(StateDone)},
	{
		Name: eventTakeBack,
		Src:  []string{string(StatePlanned), string(StateCanary), string(StateRamp), string(StateDone)},
		Dst:  string(StateReverting),
	},
	{Name: eventReverted, Src: []string{string(StateReverting)}, Dst: string(StateReverted)},
}

// eventTo names the event that leads to a state.
var eventTo = map[State]string{
	StateCanary:    eventStart,
	StateRamp:      eventRaise,
	StateDone:      eventFinish,
	StateReverting: eventTakeBack,
	StateReverted:  eventReverted,
}

// Move is the life cycle of one move as the holder of its lease drives it. A
// step forward is taken only once it is in the table; a step back at once,
// with the record to follow. It is not safe for concurrent use.
type Move struct {
	plan       Plan
	fencing    wigeonfork.FencingNumber
	machine    *fsm.FSM
	fleet      fleet
	verdict    Verdict
	record     Record
	revision   infra.Revision
	sharesSent uint64
	why        string
	announced  bool
	finalSent  bool

	pending   *Record
	inFlight  string
	nextWrite time.Time
	writes    uint64
	deposed   bool
}

// NewMove returns a Move that goes on from the recorded row, which does not
// exist for a new move. Fencing is the number of the lease just acquired; only
// one Move may be made of a plan under one number.
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
	m.write(record)
	return m, nil
}

// Step takes one event and returns what has to be done.
func (m *Move) Step(now time.Time, event Event) []Action {
	if m.deposed {
		return nil
	}
	var actions []Action
	switch e := event.(type) {
	case VerdictUpdated:
		m.verdict = e.Verdict
		if e.Verdict.Stop {
			actions = m.takeBack(now, reasonText(e.Verdict))
		}
	case StopRequested:
		actions = m.takeBack(now, e.Reason)
	case RecordDone:
		actions = m.recordDone(now, e)
	case OrderDone:
		m.deposed = m.fleet.orderDone(now, e)
	case ServerReport:
		m.fleet.report(now, e)
	case ServerAdded:
		m.fleet.add(e.Server)
	}
	if m.deposed {
		return nil
	}
	return append(actions, m.proceed(now)...)
}

func reasonText(v Verdict) string {
	if v.StoppedBy != "" {
		return "stopped by " + v.StoppedBy + " on its own evidence"
	}
	if len(v.Reasons) == 0 {
		return "stopped by the judge"
	}
	return v.Reasons[0].String()
}

// takeBack stops the new version at once. The record follows. Once the old
// version is being unloaded there is nothing to go back to.
func (m *Move) takeBack(now time.Time, why string) []Action {
	if !m.machine.Can(eventTakeBack) || (m.state() == StateDone && m.unloading(now)) {
		return nil
	}
	m.transition(eventTakeBack)
	m.finalSent = false
	m.why = why
	m.write(m.stoppedRecord())
	return []Action{m.shares(now)}
}

// stoppedRecord is what the table has to say of a move that is taken back.
func (m *Move) stoppedRecord() Record {
	next := m.record
	next.State = StateReverting
	next.Share = 0
	next.Reason = m.why
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

// shares tells what the new version may get at present. While it is watched
// after the finish, some of the old version's traffic is kept for comparison.
func (m *Move) shares(now time.Time) SetShares {
	m.sharesSent++
	m.announced = true
	final := m.state() == StateDone && m.watched(now)
	share := m.record.Share
	switch {
	case m.stopped():
		share = 0
	case m.state() == StateDone && !final:
		share = watchShare
	}
	m.finalSent = final
	return SetShares{Shares: Shares{
		Move: m.plan.ID, Fencing: m.fencing, Sequence: m.sharesSent,
		Old: m.plan.From, New: m.plan.To, NewShare: share, Stopped: m.stopped(), Final: final,
	}}
}

// proceed takes the steps that are due at now.
func (m *Move) proceed(now time.Time) []Action {
	var actions []Action
	if m.stopped() && !m.announced {
		actions = append(actions, m.shares(now))
	}
	if m.state() == StateDone && m.watched(now) && !m.finalSent {
		actions = append(actions, m.shares(now))
	}
	if m.pending == nil {
		m.decide(now)
	}
	if m.overdue(now) {
		actions = append(actions, m.takeBack(now, "not finished by the deadline")...)
	}
	actions = append(actions, m.send(now)...)
	if m.record.Fencing != m.fencing {
		return actions
	}
	return append(actions, m.orders(now)...)
}

func (m *Move) overdue(now time.Time) bool {
	switch m.state() {
	case StatePlanned, StateCanary, StateRamp:
		return !now.Before(m.plan.Deadline)
	default:
		return false
	}
}

// decide puts the next step forward, if one is due, into the pending record.
func (m *Move) decide(now time.Time) {
	switch m.state() {
	case StatePlanned:
		if m.fleet.readyFor(m.plan, m.plan.CanaryShare) {
			m.raise(now, StateCanary, m.plan.CanaryShare)
		}
	case StateCanary, StateRamp:
		m.decideRaise(now)
	case StateDone:
		if !m.record.Closed && m.unloading(now) && m.fleet.unloadFinished(now) {
			m.close(now, StateDone)
		}
	case StateReverting:
		if m.fleet.unloadFinished(now) {
			m.close(now, StateReverted)
		}
	}
}

func (m *Move) decideRaise(now time.Time) {
	stage, due, found := m.nextStage()
	if !found || now.Before(due) || m.holding(now, due) {
		return
	}
	least := time.Duration(stagePart * float64(m.plan.Deadline.Sub(m.plan.Start)))
	if now.Sub(m.record.RaisedAt) < least || m.verdict.NewStarts < m.plan.MinStarts {
		return
	}
	if !m.fleet.readyFor(m.plan, stage.share) {
		return
	}
	next := StateRamp
	if stage.share >= AllTraffic {
		next = StateDone
	}
	m.raise(now, next, stage.share)
}

// nextStage returns the stage after the recorded share and when it is due.
func (m *Move) nextStage() (stageAt, time.Time, bool) {
	for i, stage := range laterStages {
		if stage.share > m.record.Share {
			return stage, m.plan.stageTime(i), true
		}
	}
	return stageAt{}, time.Time{}, false
}

// holding says that the evidence is too strong to raise the share for now.
func (m *Move) holding(now, due time.Time) bool {
	limit := time.Duration(holdPart * float64(m.plan.Deadline.Sub(m.plan.Start)))
	return m.verdict.Suspicion >= holdAt && now.Sub(due) < limit
}

func (m *Move) raise(now time.Time, state State, share PerMille) {
	next := m.record
	next.State = state
	next.Share = share
	next.RaisedAt = now
	if state == StateDone {
		next.FinishedAt = now
	}
	m.write(next)
}

func (m *Move) close(now time.Time, state State) {
	next := m.record
	next.State = state
	next.Closed = true
	if state == StateReverted {
		next.FinishedAt = now
	}
	m.write(next)
}

// watchEnd returns when the watch after the finish ends. The new version has
// all traffic by the deadline.
func (m *Move) watchEnd() time.Time {
	end := m.record.FinishedAt.Add(m.plan.WatchPeriod)
	latest := m.plan.Deadline.Add(-finalDelay)
	if latest.Before(m.record.FinishedAt) {
		latest = m.record.FinishedAt
	}
	if latest.Before(end) {
		return latest
	}
	return end
}

func (m *Move) watched(now time.Time) bool { return !now.Before(m.watchEnd()) }

// unloading says that the old version is being unloaded, so that there is
// nothing to go back to.
func (m *Move) unloading(now time.Time) bool {
	return !now.Before(m.watchEnd().Add(finalDelay))
}

// orders returns the orders that are due.
func (m *Move) orders(now time.Time) []Action {
	switch m.state() {
	case StatePlanned, StateCanary, StateRamp:
		return m.fleet.dueLoads(now, m.plan, m.fencing)
	case StateDone:
		if m.record.Closed {
			return nil
		}
		if !m.unloading(now) {
			return m.fleet.dueLoads(now, m.plan, m.fencing)
		}
		return m.fleet.dueUnloads(now, m.plan, m.plan.From, m.fencing)
	case StateReverting:
		return m.fleet.dueUnloads(now, m.plan, m.plan.To, m.fencing)
	default:
		return nil
	}
}
