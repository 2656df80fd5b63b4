package action_test

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/action/ledger"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Timeouts and clock readings of the model. Each process has its own clock, which starts at zero.
// The clock of an entry can advance to modelDeadline, that of an agent to modelExpired.
const (
	modelClaimTimeout = 10 * time.Second
	modelDeadline     = 20 * time.Second
	modelWindow       = 30 * time.Second
	// modelExpired is after the expiry of a claim made at the start and before the expiry of
	// one made at modelClaimTimeout.
	modelExpired = 35 * time.Second
)

var (
	modelEpoch = time.Unix(1_800_000_000, 0)
	errModel   = errors.New("fault")
)

// seededBug is a deliberate protocol error that the model checker must find.
type seededBug int

const (
	bugNone seededBug = iota
	bugDispatchBeforeClaim
	bugNotRunWithoutBar
	bugSameIncarnation
	bugLostResultIsNotRun
	bugLongExpiry
)

type modelRequest struct {
	target  action.Target
	request action.Request
}

// protocolModel is a model of entries that run requests over one table row, and of their
// agents.
type protocolModel struct {
	limits    action.Limits
	requests  []modelRequest
	bug       seededBug
	stepCache map[ledgerKey]ledgerResult
}

type entryStatus int

const (
	entryIdle entryStatus = iota
	entryRunning
	entryStopped
)

// modelEntry is an entry that runs one request.
type modelEntry struct {
	status        entryStatus
	coordinator   action.Coordinator
	pendingIO     action.Command
	rowAtSend     *infra.Row
	clock         time.Duration
	runsAtStart   int
	refusedNotRun bool
	replied       bool
	replyBody     string
	// cachedKey caches the result of stateKey; "" if it is not computed yet.
	cachedKey string
}

// ledgerStep is one call of a ledger method. The kind is d for Dispatch, r for Resolve, p for
// Resolve with Peek, f for Finished and k for Recorded. The kind - calls nothing.
type ledgerStep struct {
	kind  byte
	clock time.Duration
	claim action.Claim
	reply bool
}

// modelAgent is one process of an agent. Its ledger is rebuilt from the steps that changed it.
// accepted holds the claims whose call is still to be sent to the service, calling those whose
// call is in progress.
type modelAgent struct {
	target   action.Target
	alive    bool
	clock    time.Duration
	steps    []ledgerStep
	state    string
	accepted []action.Claim
	calling  []action.Claim
}

type appliedTx struct {
	id     string
	commit infra.Commit
}

type claimAnswer struct {
	claim action.ClaimID
	state action.ResolutionState
}

// delivery names the agent process that received the single copy of a claim's call.
type delivery struct {
	claim action.ClaimID
	agent int
}

// modelState is one state of the model. Messages stay in their sets after delivery, so they can
// be late, lost or delivered again. A dispatch is delivered again to the same process only,
// because its single copy is sent over one connection (see Dispatcher).
type modelState struct {
	entries         []*modelEntry
	agents          []*modelAgent
	row             infra.Row
	revision        infra.Revision
	applied         []appliedTx
	commits         []infra.Transaction
	dispatches      []action.Claim
	queries         []action.ResolveQuery
	acks            []action.ClaimID
	deliveries      []delivery
	dispatchAnswers []claimAnswer
	resolveAnswers  []claimAnswer
	runs            []action.ClaimID
}

func (w *modelState) clone() *modelState {
	c := *w
	c.entries = slices.Clone(w.entries)
	c.agents = slices.Clone(w.agents)
	return &c
}

// entry returns a copy of entry i that the caller may change; it replaces entry i in w.
func (w *modelState) entry(i int) *modelEntry {
	changed := *w.entries[i]
	changed.cachedKey = ""
	w.entries[i] = &changed
	return &changed
}

// agent returns a copy of agent i that the caller may change; it replaces agent i in w.
func (w *modelState) agent(i int) *modelAgent {
	changed := *w.agents[i]
	w.agents[i] = &changed
	return &changed
}

func appended[T any](list []T, item T) []T { return append(slices.Clip(list), item) }

func appendedOnce[T comparable](list []T, item T) []T {
	if slices.Contains(list, item) {
		return list
	}
	return appended(list, item)
}

func timeAt(clock time.Duration) time.Time { return modelEpoch.Add(clock) }

// stateKey appends a key to buf that is the same for equal states. Sets are sorted, so the order
// of insertion does not matter.
func (w *modelState) stateKey(buf []byte) []byte {
	for i := range w.entries {
		buf = append(buf, w.entries[i].stateKey()...)
	}
	for i := range w.agents {
		buf = w.agents[i].appendKey(buf)
	}
	buf = append(buf, w.row.Value...)
	buf = strconv.AppendUint(buf, uint64(w.row.Revision), 36)
	var names []string
	for _, a := range w.applied {
		if !w.anyEntryActive() {
			break
		}
		names = append(names, "a"+a.id+strconv.FormatUint(uint64(a.commit.Revision), 36)+strconv.Itoa(len(a.commit.Conflicts)))
		if len(a.commit.Conflicts) > 0 {
			names = append(names, "c"+a.id+strconv.FormatUint(uint64(a.commit.Conflicts[0].Revision), 36))
		}
	}
	for _, tx := range w.commits {
		if !w.mayApply(tx) {
			continue
		}
		names = append(names, "t"+tx.OperationID)
	}
	for _, claim := range w.dispatches {
		names = append(names, "d"+string(claim.ID))
	}
	for _, a := range w.deliveries {
		names = append(names, "v"+string(a.claim)+strconv.Itoa(a.agent))
	}
	for _, query := range w.queries {
		names = append(names, "q"+string(query.ClaimID))
	}
	for _, id := range w.acks {
		names = append(names, "k"+string(id))
	}
	for _, answer := range w.dispatchAnswers {
		if !w.anyEntryActive() {
			break
		}
		names = append(names, "x"+string(answer.claim)+string(answer.state))
	}
	for _, answer := range w.resolveAnswers {
		if !w.anyEntryActive() {
			break
		}
		names = append(names, "y"+string(answer.claim)+string(answer.state))
	}
	for _, id := range w.runs {
		names = append(names, "r"+string(id))
	}
	slices.Sort(names)
	for _, name := range names {
		buf = append(buf, '|')
		buf = append(buf, name...)
	}
	return buf
}

// anyEntryActive reports whether an entry may still receive a result.
func (w *modelState) anyEntryActive() bool {
	for _, e := range w.entries {
		if e.status != entryStopped {
			return true
		}
	}
	return false
}

// mayApply reports whether the table can still apply a transaction with an observable effect:
// it changes the row, or an entry waits for its result.
func (w *modelState) mayApply(tx infra.Transaction) bool {
	for _, a := range w.applied {
		if a.id == tx.OperationID {
			return false
		}
	}
	if tx.Conditions[0].Revision == w.row.Revision {
		return true
	}
	for _, e := range w.entries {
		if e.status == entryRunning && e.pendingIO.Transaction.OperationID == tx.OperationID {
			return true
		}
	}
	return false
}

func (e *modelEntry) stateKey() string {
	if e.cachedKey == "" {
		e.cachedKey = string(e.appendKey(nil))
	}
	return e.cachedKey
}

func (e *modelEntry) appendKey(buf []byte) []byte {
	buf = append(buf, '{', byte('0'+e.status), byte('0'+e.runsAtStart))
	if e.refusedNotRun {
		buf = append(buf, 'n')
	}
	if e.status != entryRunning {
		return buf
	}
	buf = e.coordinator.AppendState(buf)
	buf = append(buf, byte('0'+e.pendingIO.Kind))
	if e.rowAtSend != nil {
		buf = strconv.AppendUint(buf, uint64(e.rowAtSend.Revision), 36)
	}
	return strconv.AppendInt(buf, int64(e.clock), 36)
}

func (a *modelAgent) appendKey(buf []byte) []byte {
	buf = append(buf, '[')
	if !a.alive {
		return append(buf, 'x')
	}
	buf = append(buf, a.state...)
	for _, claim := range a.accepted {
		buf = append(buf, 'd')
		buf = append(buf, claim.ID...)
	}
	for _, claim := range a.calling {
		buf = append(buf, 'c')
		buf = append(buf, claim.ID...)
	}
	return strconv.AppendInt(buf, int64(a.clock), 36)
}

// apply applies a transaction as the table does.
func (w *modelState) apply(tx infra.Transaction) infra.Commit {
	for _, past := range w.applied {
		if past.id == tx.OperationID {
			return past.commit
		}
	}
	commit := infra.Commit{Conflicts: []infra.Row{w.row}}
	if w.row.Revision == tx.Conditions[0].Revision {
		w.revision++
		w.row = infra.Row{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: w.revision}
		commit = infra.Commit{Applied: true, Revision: w.revision}
	}
	w.applied = appended(w.applied, appliedTx{id: tx.OperationID, commit: commit})
	return commit
}

// ledger rebuilds the agent's ledger.
func (a *modelAgent) ledger() *ledger.Ledger {
	config := ledger.DefaultConfig(a.target.Incarnation)
	config.RecordDelay = time.Millisecond
	l := ledger.New(config)
	for _, step := range a.steps {
		step.apply(l)
	}
	return l
}

func (s ledgerStep) apply(l *ledger.Ledger) {
	switch s.kind {
	case 'd':
		l.Dispatch(timeAt(s.clock), s.claim)
	case 'r':
		l.Resolve(timeAt(s.clock), s.query())
	case 'f':
		l.Finished(timeAt(s.clock), s.claim.ID, stepReply(s))
	case 'k':
		l.Recorded(timeAt(s.clock), s.claim.ID)
	}
}

func (s ledgerStep) query() action.ResolveQuery {
	return action.ResolveQuery{
		ClaimID: s.claim.ID, Incarnation: s.claim.Target.Incarnation, Expires: s.claim.Expires, Peek: s.kind == 'p',
	}
}

func stepReply(s ledgerStep) *backend.Reply {
	if !s.reply {
		return nil
	}
	reply := replyOf(s.claim.ID)
	return &reply
}

func replyOf(id action.ClaimID) backend.Reply {
	return backend.Reply{Status: 200, Body: []byte("reply to " + string(id))}
}

// ledgerKey identifies a step from a given ledger state.
type ledgerKey struct {
	incarnation action.Incarnation
	state       string
	clock       time.Duration
	kind        byte
	claim       action.ClaimID
	reply       bool
}

// ledgerResult is the result of a ledger step.
type ledgerResult struct {
	verdict  ledger.Verdict
	resolved action.ResolutionState
	state    string
	steps    []ledgerStep
}

// stepLedger returns the effect of a step on an agent's ledger. Steps from equal states are
// computed once.
func (m *protocolModel) stepLedger(w *modelState, a *modelAgent, s ledgerStep) ledgerResult {
	s.clock = a.clock
	key := ledgerKey{a.target.Incarnation, a.state, a.clock, s.kind, s.claim.ID, s.reply}
	if known, ok := m.stepCache[key]; ok {
		return known
	}
	l := a.ledger()
	result := ledgerResult{steps: a.steps}
	switch s.kind {
	case 'd':
		result.verdict = l.Dispatch(timeAt(s.clock), s.claim).Verdict
	case 'p', 'r':
		result.resolved = l.Resolve(timeAt(s.clock), s.query()).State
	default:
		s.apply(l)
	}
	changed := *a
	changed.steps = appended(a.steps, s)
	result.state = changed.describeLedger(w)
	if result.state != a.state {
		result.steps = changed.steps
	}
	m.stepCache[key] = result
	return result
}

func (a *modelAgent) applyResult(result ledgerResult) {
	a.state = result.state
	a.steps = result.steps
}

// describeLedger describes what the agent's ledger holds about every known claim.
func (a *modelAgent) describeLedger(w *modelState) string {
	l := a.ledger()
	var out bytes.Buffer
	for _, claim := range w.claims() {
		answer := l.Resolve(timeAt(a.clock), action.ResolveQuery{
			ClaimID: claim.ID, Incarnation: a.target.Incarnation, Expires: claim.Expires, Peek: true,
		})
		if answer.State != action.ResolvedUnseen && answer.State != action.ResolvedExpired {
			out.WriteString(string(claim.ID) + string(answer.State) + ",")
		}
	}
	for _, outcome := range l.Unrecorded(timeAt(a.clock+time.Second), len(a.steps)) {
		out.WriteString("u" + string(outcome.Claim.ID))
	}
	out.WriteString(strconv.Itoa(l.Status().Claims))
	return out.String()
}

// claims returns all claims that agents may have received, ordered by id.
func (w *modelState) claims() []action.Claim {
	claims := slices.Clone(w.dispatches)
	for _, query := range w.queries {
		known := slices.ContainsFunc(claims, func(c action.Claim) bool { return c.ID == query.ClaimID })
		if !known {
			claims = append(claims, action.Claim{ID: query.ClaimID, Expires: query.Expires})
		}
	}
	slices.SortFunc(claims, func(a, b action.Claim) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return claims
}

// violation returns the violated invariant, or "".
func (w *modelState) violation() string {
	if len(w.runs) > 1 {
		return "the service ran twice"
	}
	record, err := action.DecodeRow(w.row)
	if err != nil {
		return err.Error()
	}
	for _, id := range w.runs {
		if record.State == action.StateNotRun && record.ClaimID == id {
			return "the row says not run, but it ran"
		}
		for i := range w.entries {
			if w.entries[i].refusedNotRun && isClaimOfEntry(id, i) {
				return "a caller got RunNot, but its claim ran"
			}
		}
	}
	if record.State == action.StateDone && !slices.Contains(w.runs, record.ClaimID) {
		return "the row says done, but it did not run"
	}
	for i := range w.entries {
		if problem := w.entries[i].violation(w); problem != "" {
			return problem
		}
	}
	return ""
}

func (e *modelEntry) violation(w *modelState) string {
	if e.refusedNotRun && e.runsAtStart > 0 {
		return "a caller got RunNot, but the key ran before its request"
	}
	if e.replied && (len(w.runs) != 1 || e.replyBody != string(replyOf(w.runs[0]).Body)) {
		return "a caller got a reply of another run"
	}
	return ""
}

func isClaimOfEntry(id action.ClaimID, entry int) bool { return id[0] == byte('0'+entry) }

func unknownErr() error {
	return infra.NewError(infra.OutcomeUnknown, "model", "peer", errModel)
}

func notDoneErr() error {
	return infra.NewError(infra.OutcomeNotDone, "model", "peer", errModel)
}

func agentRefusal() error {
	return problem.New(problem.CodeDraining, problem.RunNot, problem.StepDispatch, "refused")
}
