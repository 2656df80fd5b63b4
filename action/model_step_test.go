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

// move is one step from a state, with the number of faults it takes.
type move struct {
	label string
	to    *world
	fault int
}

// moves returns all steps from w.
func (m *modelConfig) moves(w *world) []move {
	var out []move
	add := func(label string, fault int, change func(next *world)) {
		next := w.clone()
		change(next)
		out = append(out, move{label: label, to: next, fault: fault})
	}
	for i := range w.entries {
		m.entryMoves(w, i, add)
	}
	m.tableMoves(w, add)
	for i := range w.agents {
		if w.agents[i].alive {
			m.agentMoves(w, i, add)
		}
	}
	return out
}

type adder func(label string, fault int, change func(next *world))

func (m *modelConfig) entryMoves(w *world, i int, add adder) {
	e := w.entries[i]
	name := "entry " + strconv.Itoa(i)
	switch e.status {
	case entryGone:
		return
	case entryIdle:
		add(name+" starts", 0, func(next *world) { m.start(next, i) })
		return
	}
	add(name+" dies", 1, func(next *world) { next.entry(i).status = entryGone })
	if !e.coordinator.Answered() {
		add(name+" pauses until its deadline", 1, func(next *world) { m.pause(next, i, modelDeadline) })
	}
	if e.access.Kind < 0 {
		add(name+" goes on", 0, func(next *world) {
			n := next.entry(i)
			m.follow(next, i, n.coordinator.Tick(at(n.clock)))
		})
		return
	}
	if m.unsent(w, e) {
		add(name+" cannot send "+accessNames[e.access.Kind], 1, func(next *world) {
			next.withdraw(e.access)
			m.answer(next, i, action.CommandResult{Err: notDoneErr()})
		})
	}
	add(name+" loses the answer to "+accessNames[e.access.Kind], 1, func(next *world) {
		m.lose(next, i)
	})
	for _, answer := range m.answers(w, e) {
		add(name+" hears of "+accessNames[e.access.Kind], 0, func(next *world) { m.answer(next, i, answer) })
	}
}

var accessNames = []string{"read", "commit", "dispatch", "resolve"}

func (m *modelConfig) start(w *world, i int) {
	e := w.entry(i)
	e.status = entryRunning
	e.runsAtStart = len(w.runs)
	e.coordinator = action.NewCoordinator(m.limits, m.requests[i].request, action.ClaimID(strconv.Itoa(i)))
	m.follow(w, i, e.coordinator.Start(at(e.clock)))
}

func (m *modelConfig) pause(w *world, i int, clock time.Duration) {
	e := w.entry(i)
	e.clock = clock
	access, captured := e.access, e.captured
	m.follow(w, i, e.coordinator.Tick(at(clock)))
	if access.Kind >= 0 && e.access.Kind < 0 && e.status == entryRunning {
		e.access, e.captured = access, captured
	}
}

// follow takes the commands of an entry's coordinator.
func (m *modelConfig) follow(w *world, i int, commands []action.Command) {
	e := w.entries[i]
	e.access = action.Command{Kind: -1}
	e.captured = nil
	for _, command := range commands {
		switch command.Kind {
		case action.CommandReply:
			e.replied = true
			e.broughtReply = string(command.Reply.Body)
		case action.CommandRefuse:
			e.toldNotRun = command.Problem.Run == problem.RunNot
		case action.CommandAcknowledge:
			w.acks = appendedOnce(w.acks, command.Claim.ID)
		default:
			e.access = command
		}
	}
	if e.coordinator.Ended() {
		e.status = entryGone
		e.coordinator = action.Coordinator{}
	}
	if e.status == entryRunning && e.access.Kind >= 0 {
		m.send(w, e)
	}
	if m.breakage == breakDispatchEarly && e.access.Kind == action.CommandCommit && w.row.Revision == 0 {
		m.answer(w, i, action.CommandResult{Commit: infra.Commit{Applied: true, Revision: 1}})
	}
}

func (m *modelConfig) answer(w *world, i int, answer action.CommandResult) {
	e := w.entry(i)
	m.follow(w, i, e.coordinator.Handle(at(e.clock), answer))
}

func (m *modelConfig) lose(w *world, i int) {
	err := unknownErr()
	if m.breakage == breakTrustLoss && w.entries[i].access.Kind == action.CommandDispatch {
		err = notDoneErr()
	}
	m.answer(w, i, action.CommandResult{Err: err})
}

// unsent tells whether an access has had no effect yet, so that it may also
// never have left.
func (m *modelConfig) unsent(w *world, e *modelEntry) bool {
	switch e.access.Kind {
	case action.CommandCommit:
		return !slices.ContainsFunc(w.applied, func(a appliedTx) bool { return a.id == e.access.Transaction.OperationID })
	case action.CommandDispatch:
		for _, a := range w.agents {
			if strings.Contains(a.state, string(e.access.Claim.ID)) {
				return false
			}
		}
		return !slices.ContainsFunc(w.dispatched, func(a claimAnswer) bool { return a.claim == e.access.Claim.ID })
	default:
		return false
	}
}

// withdraw takes an access that never left out of the network.
func (w *world) withdraw(access action.Command) {
	if access.Kind == action.CommandDispatch {
		w.dispatches = slices.DeleteFunc(slices.Clone(w.dispatches), func(c action.Claim) bool { return c.ID == access.Claim.ID })
	}
	if access.Kind == action.CommandCommit {
		w.commits = slices.DeleteFunc(slices.Clone(w.commits), func(tx infra.Transaction) bool {
			return tx.OperationID == access.Transaction.OperationID
		})
	}
}

// send puts an access on its way. A read may see the row now or when its
// answer arrives.
func (m *modelConfig) send(w *world, e *modelEntry) {
	switch e.access.Kind {
	case action.CommandRead:
		row := w.row
		e.captured = &row
	case action.CommandCommit:
		tx := e.access.Transaction
		known := slices.ContainsFunc(w.commits, func(t infra.Transaction) bool { return t.OperationID == tx.OperationID })
		if !known {
			w.commits = appended(w.commits, tx)
		}
	case action.CommandDispatch:
		claim := e.access.Claim
		if m.breakage == breakLongExpiry {
			claim.Expires = claim.Expires.Add(modelWindow)
		}
		w.dispatches = appended(w.dispatches, claim)
	case action.CommandResolve:
		w.queries = appendedOnce(w.queries, e.access.Query)
	}
}

// answers returns the answers that have arrived for an entry's access.
func (m *modelConfig) answers(w *world, e *modelEntry) []action.CommandResult {
	var out []action.CommandResult
	switch e.access.Kind {
	case action.CommandRead:
		out = append(out, action.CommandResult{Row: w.row})
		if e.captured.Revision != w.row.Revision {
			out = append(out, action.CommandResult{Row: *e.captured})
		}
	case action.CommandCommit:
		for _, past := range w.applied {
			if past.id == e.access.Transaction.OperationID {
				out = append(out, action.CommandResult{Commit: past.commit})
			}
		}
	case action.CommandDispatch:
		for _, known := range w.dispatched {
			if known.claim == e.access.Claim.ID {
				out = append(out, dispatchAnswer(known))
			}
		}
	case action.CommandResolve:
		for _, known := range w.resolved {
			if known.claim == e.access.Query.ClaimID {
				out = append(out, action.CommandResult{Resolution: action.Resolution{State: known.state, Reply: replyOf(known.claim)}})
			}
		}
	}
	return out
}

func dispatchAnswer(known claimAnswer) action.CommandResult {
	switch known.state {
	case action.ResolvedDone:
		return action.CommandResult{Reply: replyOf(known.claim)}
	case action.ResolvedNotRun:
		return action.CommandResult{Err: agentRefusal()}
	default:
		return action.CommandResult{Err: unknownErr()}
	}
}

func (m *modelConfig) tableMoves(w *world, add adder) {
	for _, tx := range w.commits {
		if w.mayApply(tx) {
			add("table takes "+tx.OperationID, 0, func(next *world) { next.apply(tx) })
		}
	}
}

func (m *modelConfig) agentMoves(w *world, i int, add adder) {
	a := w.agents[i]
	name := "agent " + string(a.target.Incarnation)
	for _, claim := range w.dispatches {
		if claim.Target.AgentAddress == a.target.AgentAddress && w.mayArrive(claim.ID, i) {
			m.deliver(w, i, claim, name, add)
		}
	}
	for _, query := range w.queries {
		if m.addressOf(query.ClaimID) == a.target.AgentAddress {
			m.ask(w, i, query, name, add)
		}
	}
	for k, claim := range a.decided {
		add(name+" calls for "+string(claim.ID), 0, func(next *world) {
			n := next.agent(i)
			n.decided = slices.Delete(slices.Clone(n.decided), k, k+1)
			n.called = appended(n.called, claim)
			next.runs = appended(next.runs, claim.ID)
		})
	}
	for k, claim := range a.called {
		add(name+" ends "+string(claim.ID), 0, func(next *world) { m.finish(next, i, k, claim, true) })
		add(name+" loses the service's answer to "+string(claim.ID), 1, func(next *world) { m.finish(next, i, k, claim, false) })
	}
	m.agentUpkeep(w, i, name, add)
}

// agentUpkeep adds recording, forgetting, death and replacement.
func (m *modelConfig) agentUpkeep(w *world, i int, name string, add adder) {
	a := w.agents[i]
	if strings.Contains(a.state, "u") {
		for _, outcome := range a.ledger().Unrecorded(at(a.clock+time.Second), len(a.steps)) {
			add(name+" records "+string(outcome.Claim.ID), 1, func(next *world) {
				action.RecordOutcome(outcome.Claim, outcome.Reply, next.apply)
				n := next.agent(i)
				n.become(m.step(next, n, ledgerStep{kind: 'k', claim: action.Claim{ID: outcome.Claim.ID}}))
			})
		}
	}
	if a.clock < modelExpired {
		add(name+" pauses until claims expire", 1, func(next *world) { m.expire(next, next.agent(i)) })
		add(name+" hears what is recorded and pauses until claims expire", 1, func(next *world) {
			n := next.agent(i)
			for _, id := range next.acks {
				n.become(m.step(next, n, ledgerStep{kind: 'k', claim: action.Claim{ID: id}}))
			}
			m.expire(next, n)
		})
	}
	add(name+" dies", 1, func(next *world) { next.agents[i] = &modelAgent{target: a.target} })
	if m.replaceable(w, a) {
		add(name+" is replaced", 1, func(next *world) { m.replace(next, a.target, false) })
		add(name+" dies and is replaced", 1, func(next *world) {
			next.agents[i] = &modelAgent{target: a.target}
			m.replace(next, a.target, true)
		})
	}
}

// expire moves an agent's clock past the expiry of early claims.
func (m *modelConfig) expire(w *world, a *modelAgent) {
	a.clock = modelExpired
	a.become(m.step(w, a, ledgerStep{kind: '-'}))
}

// replaceable bounds the incarnations of an agent to two.
func (m *modelConfig) replaceable(w *world, a *modelAgent) bool {
	n := 0
	for _, other := range w.agents {
		if other.target.AgentAddress == a.target.AgentAddress {
			n++
		}
	}
	return n < 2
}

func (m *modelConfig) replace(w *world, old action.Target, dead bool) {
	fresh := &modelAgent{target: old, alive: true, state: "0"}
	if m.breakage != breakSameIncarnation || !dead {
		fresh.target.Incarnation += "'"
	}
	w.agents = append(w.agents, fresh)
}

// addressOf returns the address of a claim's agent.
func (m *modelConfig) addressOf(id action.ClaimID) string {
	return m.requests[int(id[0]-'0')].target.AgentAddress
}

// mayArrive tells whether the copy of a claim's call can come to agent i.
func (w *world) mayArrive(id action.ClaimID, i int) bool {
	return !slices.ContainsFunc(w.arrivals, func(a arrival) bool { return a.claim == id && a.agent != i })
}

// deliver adds the arrival of a dispatch, unless it changes nothing.
func (m *modelConfig) deliver(w *world, i int, claim action.Claim, name string, add adder) {
	a := w.agents[i]
	result := m.step(w, a, ledgerStep{kind: 'd', claim: claim})
	answer := claimAnswer{claim.ID, verdictStates[result.verdict]}
	if result.state == a.state && (answer.state == "" || slices.Contains(w.dispatched, answer)) {
		return
	}
	add(name+" gets "+string(claim.ID), 0, func(next *world) {
		n := next.agent(i)
		n.become(result)
		next.arrivals = appendedOnce(next.arrivals, arrival{claim.ID, i})
		if result.verdict == ledger.VerdictRun {
			n.decided = appended(n.decided, claim)
		}
		if answer.state != "" {
			next.dispatched = appendedOnce(next.dispatched, answer)
		}
	})
}

// verdictStates gives the verdicts that answer a dispatch at once.
var verdictStates = map[ledger.Verdict]action.ResolutionState{
	ledger.VerdictDone:    action.ResolvedDone,
	ledger.VerdictNotRun:  action.ResolvedNotRun,
	ledger.VerdictUnknown: action.ResolvedUnknown,
}

// ask adds the arrival of a question, unless it changes nothing.
func (m *modelConfig) ask(w *world, i int, query action.ResolveQuery, name string, add adder) {
	a := w.agents[i]
	s := ledgerStep{kind: 'r', claim: action.Claim{
		ID: query.ClaimID, Expires: query.Expires, Target: action.Target{Incarnation: query.Incarnation},
	}}
	if m.breakage == breakNoBar {
		s.kind = 'p'
	}
	result := m.step(w, a, s)
	answer := claimAnswer{query.ClaimID, m.brokenState(result.resolved)}
	if result.state == a.state && slices.Contains(w.resolved, answer) {
		return
	}
	add(name+" is asked about "+string(query.ClaimID), 0, func(next *world) {
		next.agent(i).become(result)
		next.resolved = appendedOnce(next.resolved, answer)
	})
}

func (m *modelConfig) brokenState(state action.ResolutionState) action.ResolutionState {
	if m.breakage == breakNoBar && state == action.ResolvedUnseen {
		return action.ResolvedNotRun
	}
	return state
}

func (m *modelConfig) finish(w *world, i, k int, claim action.Claim, known bool) {
	a := w.agent(i)
	a.called = slices.Delete(slices.Clone(a.called), k, k+1)
	a.become(m.step(w, a, ledgerStep{kind: 'f', claim: claim, reply: known}))
	state := action.ResolvedUnknown
	if known {
		state = action.ResolvedDone
	}
	w.dispatched = appendedOnce(w.dispatched, claimAnswer{claim.ID, state})
}
