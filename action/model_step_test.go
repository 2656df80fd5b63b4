package action_test

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/action/ledger"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// transition is one step to another state, with the number of faults it takes.
type transition struct {
	label string
	to    *modelState
	fault int
}

// transitions returns all transitions from w.
func (m *protocolModel) transitions(w *modelState) []transition {
	var out []transition
	add := func(label string, fault int, change func(next *modelState)) {
		next := w.clone()
		change(next)
		out = append(out, transition{label: label, to: next, fault: fault})
	}
	for i := range w.entries {
		m.entryTransitions(w, i, add)
	}
	m.tableTransitions(w, add)
	for i := range w.agents {
		if w.agents[i].alive {
			m.agentTransitions(w, i, add)
		}
	}
	return out
}

type addTransition func(label string, fault int, change func(next *modelState))

func (m *protocolModel) entryTransitions(w *modelState, i int, add addTransition) {
	e := w.entries[i]
	name := "entry " + strconv.Itoa(i)
	switch e.status {
	case entryStopped:
		return
	case entryIdle:
		add(name+" starts", 0, func(next *modelState) { m.start(next, i) })
		return
	}
	add(name+" crashes", 1, func(next *modelState) { next.entry(i).status = entryStopped })
	if !e.coordinator.Answered() {
		add(name+" pauses until its deadline", 1, func(next *modelState) { m.pause(next, i, modelDeadline) })
	}
	if e.pendingIO.Kind < 0 {
		add(name+" continues", 0, func(next *modelState) {
			n := next.entry(i)
			m.executeCommands(next, i, n.coordinator.Tick(timeAt(n.clock)))
		})
		return
	}
	if m.unsent(w, e) {
		add(name+" cannot send "+ioNames[e.pendingIO.Kind], 1, func(next *modelState) {
			next.dropUnsent(e.pendingIO)
			m.handleResult(next, i, action.CommandResult{Err: notDoneErr()})
		})
	}
	add(name+" loses the result of "+ioNames[e.pendingIO.Kind], 1, func(next *modelState) {
		m.loseResult(next, i)
	})
	for _, result := range m.availableResults(w, e) {
		add(name+" receives the result of "+ioNames[e.pendingIO.Kind], 0, func(next *modelState) { m.handleResult(next, i, result) })
	}
}

var ioNames = []string{"read", "commit", "dispatch", "resolve"}

func (m *protocolModel) start(w *modelState, i int) {
	e := w.entry(i)
	e.status = entryRunning
	e.runsAtStart = len(w.runs)
	e.coordinator = action.NewCoordinator(m.limits, m.requests[i].request, action.ClaimID(strconv.Itoa(i)))
	m.executeCommands(w, i, e.coordinator.Start(timeAt(e.clock)))
}

func (m *protocolModel) pause(w *modelState, i int, clock time.Duration) {
	e := w.entry(i)
	e.clock = clock
	pendingIO, rowAtSend := e.pendingIO, e.rowAtSend
	m.executeCommands(w, i, e.coordinator.Tick(timeAt(clock)))
	if pendingIO.Kind >= 0 && e.pendingIO.Kind < 0 && e.status == entryRunning {
		e.pendingIO, e.rowAtSend = pendingIO, rowAtSend
	}
}

// executeCommands executes the commands of an entry's coordinator.
func (m *protocolModel) executeCommands(w *modelState, i int, commands []action.Command) {
	e := w.entries[i]
	e.pendingIO = action.Command{Kind: -1}
	e.rowAtSend = nil
	for _, command := range commands {
		switch command.Kind {
		case action.CommandReply:
			e.replied = true
			e.replyBody = string(command.Reply.Body)
		case action.CommandRefuse:
			e.refusedNotRun = command.Problem.Run == problem.RunNot
		case action.CommandAcknowledge:
			w.acks = appendedOnce(w.acks, command.Claim.ID)
		default:
			e.pendingIO = command
		}
	}
	if e.coordinator.Ended() {
		e.status = entryStopped
		e.coordinator = action.Coordinator{}
	}
	if e.status == entryRunning && e.pendingIO.Kind >= 0 {
		m.send(w, e)
	}
	if m.bug == bugDispatchBeforeClaim && e.pendingIO.Kind == action.CommandCommit && w.row.Revision == 0 {
		m.handleResult(w, i, action.CommandResult{Commit: infra.Commit{Applied: true, Revision: 1}})
	}
}

func (m *protocolModel) handleResult(w *modelState, i int, result action.CommandResult) {
	e := w.entry(i)
	m.executeCommands(w, i, e.coordinator.Handle(timeAt(e.clock), result))
}

func (m *protocolModel) loseResult(w *modelState, i int) {
	err := unknownErr()
	if m.bug == bugLostResultIsNotRun && w.entries[i].pendingIO.Kind == action.CommandDispatch {
		err = notDoneErr()
	}
	m.handleResult(w, i, action.CommandResult{Err: err})
}

// unsent reports whether the pending I/O command has had no effect yet, so that it may still
// fail before it is sent.
func (m *protocolModel) unsent(w *modelState, e *modelEntry) bool {
	switch e.pendingIO.Kind {
	case action.CommandCommit:
		return !slices.ContainsFunc(w.applied, func(a appliedTx) bool { return a.id == e.pendingIO.Transaction.OperationID })
	case action.CommandDispatch:
		for _, a := range w.agents {
			if strings.Contains(a.state, string(e.pendingIO.Claim.ID)) {
				return false
			}
		}
		return !slices.ContainsFunc(w.dispatchAnswers, func(a claimAnswer) bool { return a.claim == e.pendingIO.Claim.ID })
	default:
		return false
	}
}

// dropUnsent removes an I/O command that was never sent from the network.
func (w *modelState) dropUnsent(command action.Command) {
	if command.Kind == action.CommandDispatch {
		w.dispatches = slices.DeleteFunc(slices.Clone(w.dispatches), func(c action.Claim) bool { return c.ID == command.Claim.ID })
	}
	if command.Kind == action.CommandCommit {
		w.commits = slices.DeleteFunc(slices.Clone(w.commits), func(tx infra.Transaction) bool {
			return tx.OperationID == command.Transaction.OperationID
		})
	}
}

// send adds the pending I/O command to the network. A read may return the row as it is now or
// as it is when its result arrives.
func (m *protocolModel) send(w *modelState, e *modelEntry) {
	switch e.pendingIO.Kind {
	case action.CommandRead:
		row := w.row
		e.rowAtSend = &row
	case action.CommandCommit:
		tx := e.pendingIO.Transaction
		known := slices.ContainsFunc(w.commits, func(t infra.Transaction) bool { return t.OperationID == tx.OperationID })
		if !known {
			w.commits = appended(w.commits, tx)
		}
	case action.CommandDispatch:
		claim := e.pendingIO.Claim
		if m.bug == bugLongExpiry {
			claim.Expires = claim.Expires.Add(modelWindow)
		}
		w.dispatches = appended(w.dispatches, claim)
	case action.CommandResolve:
		w.queries = appendedOnce(w.queries, e.pendingIO.Query)
	}
}

// availableResults returns the possible results of an entry's pending I/O command.
func (m *protocolModel) availableResults(w *modelState, e *modelEntry) []action.CommandResult {
	var out []action.CommandResult
	switch e.pendingIO.Kind {
	case action.CommandRead:
		out = append(out, action.CommandResult{Row: w.row})
		if e.rowAtSend.Revision != w.row.Revision {
			out = append(out, action.CommandResult{Row: *e.rowAtSend})
		}
	case action.CommandCommit:
		for _, past := range w.applied {
			if past.id == e.pendingIO.Transaction.OperationID {
				out = append(out, action.CommandResult{Commit: past.commit})
			}
		}
	case action.CommandDispatch:
		for _, known := range w.dispatchAnswers {
			if known.claim == e.pendingIO.Claim.ID {
				out = append(out, dispatchResult(known))
			}
		}
	case action.CommandResolve:
		for _, known := range w.resolveAnswers {
			if known.claim == e.pendingIO.Query.ClaimID {
				out = append(out, action.CommandResult{Resolution: action.Resolution{State: known.state, Reply: replyOf(known.claim)}})
			}
		}
	}
	return out
}

func dispatchResult(known claimAnswer) action.CommandResult {
	switch known.state {
	case action.ResolvedDone:
		return action.CommandResult{Reply: replyOf(known.claim)}
	case action.ResolvedNotRun:
		return action.CommandResult{Err: agentRefusal()}
	default:
		return action.CommandResult{Err: unknownErr()}
	}
}

func (m *protocolModel) tableTransitions(w *modelState, add addTransition) {
	for _, tx := range w.commits {
		if w.mayApply(tx) {
			add("table applies "+tx.OperationID, 0, func(next *modelState) { next.apply(tx) })
		}
	}
}

func (m *protocolModel) agentTransitions(w *modelState, i int, add addTransition) {
	a := w.agents[i]
	name := "agent " + string(a.target.Incarnation)
	for _, claim := range w.dispatches {
		if claim.Target.AgentAddress == a.target.AgentAddress && w.canDeliver(claim.ID, i) {
			m.deliverDispatch(w, i, claim, name, add)
		}
	}
	for _, query := range w.queries {
		if m.addressOf(query.ClaimID) == a.target.AgentAddress {
			m.deliverQuery(w, i, query, name, add)
		}
	}
	for k, claim := range a.accepted {
		add(name+" calls the service for "+string(claim.ID), 0, func(next *modelState) {
			n := next.agent(i)
			n.accepted = slices.Delete(slices.Clone(n.accepted), k, k+1)
			n.calling = appended(n.calling, claim)
			next.runs = appended(next.runs, claim.ID)
		})
	}
	for k, claim := range a.calling {
		add(name+" finishes "+string(claim.ID), 0, func(next *modelState) { m.finish(next, i, k, claim, true) })
		add(name+" loses the service's reply to "+string(claim.ID), 1, func(next *modelState) { m.finish(next, i, k, claim, false) })
	}
	m.agentMaintenance(w, i, name, add)
}

// agentMaintenance adds an agent's recording of outcomes, expiry of claims, crash and replacement.
func (m *protocolModel) agentMaintenance(w *modelState, i int, name string, add addTransition) {
	a := w.agents[i]
	if strings.Contains(a.state, "u") {
		for _, outcome := range a.ledger().Unrecorded(timeAt(a.clock+time.Second), len(a.steps)) {
			add(name+" records "+string(outcome.Claim.ID), 1, func(next *modelState) {
				action.RecordOutcome(outcome.Claim, outcome.Reply, next.apply)
				n := next.agent(i)
				n.applyResult(m.stepLedger(next, n, ledgerStep{kind: 'k', claim: action.Claim{ID: outcome.Claim.ID}}))
			})
		}
	}
	if a.clock < modelExpired {
		add(name+" pauses until claims expire", 1, func(next *modelState) { m.expire(next, next.agent(i)) })
		add(name+" receives acknowledgements and pauses until claims expire", 1, func(next *modelState) {
			n := next.agent(i)
			for _, id := range next.acks {
				n.applyResult(m.stepLedger(next, n, ledgerStep{kind: 'k', claim: action.Claim{ID: id}}))
			}
			m.expire(next, n)
		})
	}
	add(name+" crashes", 1, func(next *modelState) { next.agents[i] = &modelAgent{target: a.target} })
	if m.replaceable(w, a) {
		add(name+" is replaced", 1, func(next *modelState) { m.replace(next, a.target, false) })
		add(name+" crashes and is replaced", 1, func(next *modelState) {
			next.agents[i] = &modelAgent{target: a.target}
			m.replace(next, a.target, true)
		})
	}
}

// expire advances an agent's clock past the expiry of claims made at the start.
func (m *protocolModel) expire(w *modelState, a *modelAgent) {
	a.clock = modelExpired
	a.applyResult(m.stepLedger(w, a, ledgerStep{kind: '-'}))
}

// replaceable limits an agent to two processes.
func (m *protocolModel) replaceable(w *modelState, a *modelAgent) bool {
	n := 0
	for _, other := range w.agents {
		if other.target.AgentAddress == a.target.AgentAddress {
			n++
		}
	}
	return n < 2
}

func (m *protocolModel) replace(w *modelState, old action.Target, dead bool) {
	replacement := &modelAgent{target: old, alive: true, state: "0"}
	if m.bug != bugSameIncarnation || !dead {
		replacement.target.Incarnation += "'"
	}
	w.agents = append(w.agents, replacement)
}

// addressOf returns the address of the agent that a claim is for.
func (m *protocolModel) addressOf(id action.ClaimID) string {
	return m.requests[int(id[0]-'0')].target.AgentAddress
}

// canDeliver reports whether the copy of a claim's call can be delivered to agent i.
func (w *modelState) canDeliver(id action.ClaimID, i int) bool {
	return !slices.ContainsFunc(w.deliveries, func(a delivery) bool { return a.claim == id && a.agent != i })
}

// deliverDispatch adds the delivery of a dispatch, unless it changes nothing.
func (m *protocolModel) deliverDispatch(w *modelState, i int, claim action.Claim, name string, add addTransition) {
	a := w.agents[i]
	result := m.stepLedger(w, a, ledgerStep{kind: 'd', claim: claim})
	answer := claimAnswer{claim.ID, verdictStates[result.verdict]}
	if result.state == a.state && (answer.state == "" || slices.Contains(w.dispatchAnswers, answer)) {
		return
	}
	add(name+" receives "+string(claim.ID), 0, func(next *modelState) {
		n := next.agent(i)
		n.applyResult(result)
		next.deliveries = appendedOnce(next.deliveries, delivery{claim.ID, i})
		if result.verdict == ledger.VerdictRun {
			n.accepted = appended(n.accepted, claim)
		}
		if answer.state != "" {
			next.dispatchAnswers = appendedOnce(next.dispatchAnswers, answer)
		}
	})
}

// verdictStates maps the verdicts that the agent answers without calling the service or waiting.
var verdictStates = map[ledger.Verdict]action.ResolutionState{
	ledger.VerdictDone:    action.ResolvedDone,
	ledger.VerdictNotRun:  action.ResolvedNotRun,
	ledger.VerdictUnknown: action.ResolvedUnknown,
}

// deliverQuery adds the delivery of a query, unless it changes nothing.
func (m *protocolModel) deliverQuery(w *modelState, i int, query action.ResolveQuery, name string, add addTransition) {
	a := w.agents[i]
	s := ledgerStep{kind: 'r', claim: action.Claim{
		ID: query.ClaimID, Expires: query.Expires, Target: action.Target{Incarnation: query.Incarnation},
	}}
	if m.bug == bugNotRunWithoutBar {
		s.kind = 'p'
	}
	result := m.stepLedger(w, a, s)
	answer := claimAnswer{query.ClaimID, m.stateWithBug(result.resolved)}
	if result.state == a.state && slices.Contains(w.resolveAnswers, answer) {
		return
	}
	add(name+" receives a query about "+string(query.ClaimID), 0, func(next *modelState) {
		next.agent(i).applyResult(result)
		next.resolveAnswers = appendedOnce(next.resolveAnswers, answer)
	})
}

func (m *protocolModel) stateWithBug(state action.ResolutionState) action.ResolutionState {
	if m.bug == bugNotRunWithoutBar && state == action.ResolvedUnseen {
		return action.ResolvedNotRun
	}
	return state
}

func (m *protocolModel) finish(w *modelState, i, k int, claim action.Claim, known bool) {
	a := w.agent(i)
	a.calling = slices.Delete(slices.Clone(a.calling), k, k+1)
	a.applyResult(m.stepLedger(w, a, ledgerStep{kind: 'f', claim: claim, reply: known}))
	state := action.ResolvedUnknown
	if known {
		state = action.ResolvedDone
	}
	w.dispatchAnswers = appendedOnce(w.dispatchAnswers, claimAnswer{claim.ID, state})
}
