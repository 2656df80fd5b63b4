package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Tracker is the core of one entry. It is not safe for concurrent use.
type Tracker struct {
	options Options
	members map[wigeonfork.BackendServerID]*member
	subset  []*member
	ids     []wigeonfork.BackendServerID
	cursor  int
	listed  time.Time
	out     Actions
}

// Refute tells an agent that an incarnation of it is over. If that is its
// present one, it has to begin another above Known before it gets work again.
type Refute struct {
	BackendServer wigeonfork.BackendServerID `json:"backend_server"`
	Incarnation   Incarnation                `json:"incarnation"`
	Known         Incarnation                `json:"known"`
}

// Change is a change of the state of a chosen member.
type Change struct {
	BackendServer wigeonfork.BackendServerID
	State         State
}

// Actions is what a Tracker wants done. The slices are valid until the next
// event. SubsetChanged tells that Subset returns another set.
type Actions struct {
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

// NewTracker returns a Tracker that knows no member.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options.withDefaults(),
		members: make(map[wigeonfork.BackendServerID]*member),
	}
}

// SetWarmSize changes the number of idle members that are polled.
func (t *Tracker) SetWarmSize(n int) { t.options.WarmSize = n }

// ApplyHostList takes in the platform's list as it stood at asOf. What an agent
// said of itself after asOf goes before it. A member that is no longer listed
// is forgotten once it is silent. A list older than the last one is ignored.
func (t *Tracker) ApplyHostList(now time.Time, hosts []infra.Host, asOf time.Time) Actions {
	t.out.reset()
	if asOf.Before(t.listed) {
		return t.out
	}
	t.listed = asOf
	for _, m := range t.members {
		m.listed = false
	}
	for i := range hosts {
		if hosts[i].Role == infra.RoleAgent && hosts[i].BackendServer != "" {
			t.list(&hosts[i], asOf)
		}
	}
	t.forget(now)
	t.choose(now)
	return t.out
}

func (t *Tracker) list(h *infra.Host, asOf time.Time) {
	m, found := t.members[h.BackendServer]
	if !found {
		m = &member{id: h.BackendServer}
		t.members[h.BackendServer] = m
	}
	m.listed = true
	m.domain = h.Domain
	m.listLeaving = h.State == infra.HostLeaving && !m.begun.After(asOf)
}

func (t *Tracker) forget(now time.Time) {
	for id, m := range t.members {
		if !m.listed && now.Sub(m.heard) >= UnresponsiveAfter {
			delete(t.members, id)
		}
	}
}

// ReceiveHeartbeat takes in a heartbeat. Late and repeated heartbeats change nothing,
// nor do those of an incarnation that has left or was given up.
func (t *Tracker) ReceiveHeartbeat(now time.Time, h Heartbeat) Actions {
	t.out.reset()
	m, found := t.members[h.BackendServer]
	if !found {
		return t.out
	}
	before := m.state(now)
	if m.overdue(now) {
		m.lose(now)
	}
	if h.Incarnation < m.incarnation || h.Incarnation <= m.over {
		t.out.Refutes = append(t.out.Refutes, Refute{m.id, h.Incarnation, m.incarnation})
		t.changed(m, before, now)
		return t.out
	}
	if h.Incarnation > m.incarnation {
		m.begin(now, h.Incarnation)
	}
	if h.Sequence <= m.sequence {
		return t.out
	}
	m.sequence = h.Sequence
	m.hear(now)
	m.leaving = m.leaving || h.Leaving
	t.changed(m, before, now)
	return t.out
}

// ReceiveFrame tells that a frame of the given incarnation arrived on a stream.
func (t *Tracker) ReceiveFrame(now time.Time, id wigeonfork.BackendServerID, incarnation Incarnation) {
	m, found := t.members[id]
	if !found || m.lost || m.incarnation != incarnation || m.overdue(now) {
		return
	}
	m.hear(now)
}

// SetStreams tells how many streams the entry has open at a member.
func (t *Tracker) SetStreams(id wigeonfork.BackendServerID, count int) {
	if m, found := t.members[id]; found {
		m.streams = count
	}
}

// RequestPoll asks for a member to be polled before others, so that it can be used.
func (t *Tracker) RequestPoll(id wigeonfork.BackendServerID) {
	if m, found := t.members[id]; found {
		m.wanted = true
	}
}

// Tick tells the time. It is to be called several times a second.
func (t *Tracker) Tick(now time.Time) Actions {
	t.out.reset()
	replace := false
	for _, m := range t.subset {
		if m.overdue(now) {
			m.lose(now)
			t.out.Changes = append(t.out.Changes, Change{m.id, StateUnresponsive})
		}
		replace = replace || m.standing(now) != m.counted
	}
	if replace {
		t.choose(now)
	}
	t.relieve(now)
	t.poll(now)
	return t.out
}

func (t *Tracker) changed(m *member, before State, now time.Time) {
	if after := m.state(now); m.chosen && after != before {
		t.out.Changes = append(t.out.Changes, Change{m.id, after})
	}
}

// relieve ends the damping of members where too few others are usable.
func (t *Tracker) relieve(now time.Time) {
	usable, damped := 0, 0
	for _, m := range t.subset {
		switch m.state(now) {
		case StateLive, StateSuspect:
			usable++
		case StateDamped:
			damped++
		}
	}
	wanted := min(float64(len(t.subset)), float64(t.options.WarmSize)) * minUsableShare
	if damped == 0 || float64(usable) >= wanted {
		return
	}
	for _, m := range t.subset {
		if m.state(now) == StateDamped {
			m.dampedUntil = time.Time{}
			t.out.Changes = append(t.out.Changes, Change{m.id, m.state(now)})
		}
	}
}

// choose picks the subset anew. A member that leaves drops out of it; streams
// that are open there go on.
func (t *Tracker) choose(now time.Time) {
	candidates := make([]Candidate, 0, len(t.members))
	for _, m := range t.members {
		m.counted = m.standing(now)
		if !m.counted.leaving {
			live := m.state(now) == StateLive
			candidates = append(candidates, Candidate{ID: m.id, Domain: m.domain, Failed: m.counted.lost, Live: live})
		}
	}
	ids := ChooseSubset(t.options.Entry, candidates, t.options.SubsetSize)
	if slices.Equal(ids, t.ids) {
		return
	}
	for _, m := range t.subset {
		m.chosen = false
	}
	previous := t.ids
	t.ids = ids
	t.subset = make([]*member, len(ids))
	for i, id := range ids {
		t.subset[i] = t.members[id]
		t.subset[i].chosen = true
		if _, kept := slices.BinarySearch(previous, id); !kept {
			t.subset[i].join(now)
		}
	}
	t.out.SubsetChanged = true
}

// Subset returns the chosen members in order of id. It must not be changed.
func (t *Tracker) Subset() []wigeonfork.BackendServerID { return t.ids }

// State returns the state of a member. A member that is not known is unknown.
func (t *Tracker) State(now time.Time, id wigeonfork.BackendServerID) State {
	m, found := t.members[id]
	if !found {
		return StateUnknown
	}
	return m.state(now)
}

// Usable tells whether a member may get new work.
func (t *Tracker) Usable(now time.Time, id wigeonfork.BackendServerID) bool {
	s := t.State(now, id)
	return s == StateLive || s == StateSuspect
}

// UsableCount returns the number of chosen members that may get new work.
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
