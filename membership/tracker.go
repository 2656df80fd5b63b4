package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Tracker tracks the states of backend servers for one entry. The backend
// servers of the host list are its members. It is deterministic, without clock
// or I/O, and not safe for concurrent use.
type Tracker struct {
	options   Options
	members   map[wigeonfork.BackendServerID]*member
	subset    []*member
	subsetIDs []wigeonfork.BackendServerID
	cursor    int
	listAsOf  time.Time
	actions   Actions
}

// Refute notifies an agent that one of its incarnations has ended. If that is the
// current one, the agent must start one above Known before it gets work again.
type Refute struct {
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`
	Incarnation   Incarnation                `json:"incarnation"`
	Known         Incarnation                `json:"known"`
}

// Change is a state change of a member of the subset.
type Change struct {
	BackendServer wigeonfork.BackendServerID
	State         State
}

// Actions lists what the caller has to do after an event. The slices are valid
// until the next event. SubsetChanged is set if Subset returns another set.
type Actions struct {
	// Polls lists the members to request a heartbeat from.
	Polls         []wigeonfork.BackendServerID
	Refutes       []Refute
	Changes       []Change
	SubsetChanged bool
}

func (a *Actions) reset() {
	a.Polls = a.Polls[:0]
	a.Refutes = a.Refutes[:0]
	a.Changes = a.Changes[:0]
	a.SubsetChanged = false
}

// NewTracker returns a Tracker without members.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options.withDefaults(),
		members: make(map[wigeonfork.BackendServerID]*member),
	}
}

// SetWarmSize sets the number of idle members that are polled.
func (t *Tracker) SetWarmSize(n int) { t.options.WarmSize = n }

// ApplyHostList applies the platform's host list as of asOf. An older list than
// the last one is ignored. The list cannot mark an incarnation as leaving that
// started after asOf. Members that are not listed are removed after
// UnresponsiveAfter without activity.
func (t *Tracker) ApplyHostList(now time.Time, hosts []infra.Host, asOf time.Time) Actions {
	t.actions.reset()
	if asOf.Before(t.listAsOf) {
		return t.actions
	}
	t.listAsOf = asOf
	for _, m := range t.members {
		m.listed = false
	}
	for i := range hosts {
		if hosts[i].Role == infra.RoleAgent && hosts[i].BackendServer != "" {
			t.applyHost(&hosts[i], asOf)
		}
	}
	t.removeUnlisted(now)
	t.selectSubset(now)
	return t.actions
}

func (t *Tracker) applyHost(h *infra.Host, asOf time.Time) {
	m, found := t.members[h.BackendServer]
	if !found {
		m = &member{id: h.BackendServer}
		t.members[h.BackendServer] = m
	}
	m.listed = true
	m.domain = h.Domain
	m.listedLeaving = h.State == infra.HostLeaving && !m.startedAt.After(asOf)
}

func (t *Tracker) removeUnlisted(now time.Time) {
	for id, m := range t.members {
		if !m.listed && now.Sub(m.lastActivity) >= UnresponsiveAfter {
			delete(t.members, id)
		}
	}
}

// ReceiveHeartbeat handles a heartbeat. Repeated and reordered heartbeats and
// those of unknown backend servers are ignored. A heartbeat of an ended or older
// incarnation is answered by a Refute. An incarnation that has announced its
// leaving stays leaving.
func (t *Tracker) ReceiveHeartbeat(now time.Time, h Heartbeat) Actions {
	t.actions.reset()
	m, found := t.members[h.BackendServer]
	if !found {
		return t.actions
	}
	before := m.state(now)
	if m.pollTimedOut(now) {
		m.markFailed(now)
	}
	if h.Incarnation < m.incarnation || h.Incarnation <= m.endedIncarnation {
		t.actions.Refutes = append(t.actions.Refutes, Refute{m.id, h.Incarnation, m.incarnation})
		t.recordChange(m, before, now)
		return t.actions
	}
	if h.Incarnation > m.incarnation {
		m.startIncarnation(now, h.Incarnation)
	}
	if h.Sequence <= m.sequence {
		return t.actions
	}
	m.sequence = h.Sequence
	m.recordActivity(now)
	m.leaving = m.leaving || h.Leaving
	t.recordChange(m, before, now)
	return t.actions
}

// ReceiveFrame records a stream frame of the given incarnation as activity.
func (t *Tracker) ReceiveFrame(now time.Time, id wigeonfork.BackendServerID, incarnation Incarnation) {
	m, found := t.members[id]
	if !found || m.failed || m.incarnation != incarnation || m.pollTimedOut(now) {
		return
	}
	m.recordActivity(now)
}

// SetStreams sets the number of streams that the entry has open at a member.
func (t *Tracker) SetStreams(id wigeonfork.BackendServerID, count int) {
	if m, found := t.members[id]; found {
		m.streams = count
	}
}

// RequestPoll gives a member precedence for polling, so that it becomes usable.
func (t *Tracker) RequestPoll(id wigeonfork.BackendServerID) {
	if m, found := t.members[id]; found {
		m.pollRequested = true
	}
}

// Tick advances the time. It must be called several times a second.
func (t *Tracker) Tick(now time.Time) Actions {
	t.actions.reset()
	reselect := false
	for _, m := range t.subset {
		if m.pollTimedOut(now) {
			m.markFailed(now)
			t.actions.Changes = append(t.actions.Changes, Change{m.id, StateUnresponsive})
		}
		reselect = reselect || m.subsetStatus(now) != m.lastStatus
	}
	if reselect {
		t.selectSubset(now)
	}
	t.limitDamping(now)
	t.planPolls(now)
	return t.actions
}

func (t *Tracker) recordChange(m *member, before State, now time.Time) {
	if after := m.state(now); m.inSubset && after != before {
		t.actions.Changes = append(t.actions.Changes, Change{m.id, after})
	}
}

// limitDamping ends the damping of all members if too few members of the subset
// are usable.
func (t *Tracker) limitDamping(now time.Time) {
	usable, damped := 0, 0
	for _, m := range t.subset {
		switch m.state(now) {
		case StateLive, StateSuspect:
			usable++
		case StateDamped:
			damped++
		}
	}
	minUsable := min(float64(len(t.subset)), float64(t.options.WarmSize)) * minUsableShare
	if damped == 0 || float64(usable) >= minUsable {
		return
	}
	for _, m := range t.subset {
		if m.state(now) == StateDamped {
			m.dampedUntil = time.Time{}
			t.actions.Changes = append(t.actions.Changes, Change{m.id, m.state(now)})
		}
	}
}

// selectSubset recomputes the subset. Leaving members are excluded, but their
// open streams continue.
func (t *Tracker) selectSubset(now time.Time) {
	candidates := make([]Candidate, 0, len(t.members))
	for _, m := range t.members {
		m.lastStatus = m.subsetStatus(now)
		if !m.lastStatus.leaving {
			live := m.state(now) == StateLive
			candidates = append(candidates, Candidate{ID: m.id, Domain: m.domain, Failed: m.lastStatus.failed, Live: live})
		}
	}
	ids := ChooseSubset(t.options.Entry, candidates, t.options.SubsetSize)
	if slices.Equal(ids, t.subsetIDs) {
		return
	}
	for _, m := range t.subset {
		m.inSubset = false
	}
	previous := t.subsetIDs
	t.subsetIDs = ids
	t.subset = make([]*member, len(ids))
	for i, id := range ids {
		t.subset[i] = t.members[id]
		t.subset[i].inSubset = true
		if _, kept := slices.BinarySearch(previous, id); !kept {
			t.subset[i].enterSubset(now)
		}
	}
	t.actions.SubsetChanged = true
}

// Subset returns the IDs of the subset in order. The caller must not modify it.
func (t *Tracker) Subset() []wigeonfork.BackendServerID { return t.subsetIDs }

// State returns the state of a member, StateUnknown if there is no such member.
func (t *Tracker) State(now time.Time, id wigeonfork.BackendServerID) State {
	m, found := t.members[id]
	if !found {
		return StateUnknown
	}
	return m.state(now)
}

// Usable reports whether a member may get new work.
func (t *Tracker) Usable(now time.Time, id wigeonfork.BackendServerID) bool {
	s := t.State(now, id)
	return s == StateLive || s == StateSuspect
}

// UsableCount returns the number of members of the subset that may get new work.
func (t *Tracker) UsableCount(now time.Time) int {
	count := 0
	for _, m := range t.subset {
		if s := m.state(now); s == StateLive || s == StateSuspect {
			count++
		}
	}
	return count
}

func compareID(a, b *member) int { return cmp.Compare(a.id, b.id) }
