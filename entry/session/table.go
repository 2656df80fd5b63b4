package session

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/generation"
)

// Table holds the answers in progress at one entry.
type Table struct {
	mu      sync.Mutex
	answers map[*Answer]struct{}
	actions int
	closed  bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{answers: map[*Answer]struct{}{}}
}

// Add adds an answer. It returns false if the entry is leaving.
func (t *Table) Add(a *Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.answers[a] = struct{}{}
	return true
}

// Remove removes an answer.
func (t *Table) Remove(a *Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers, a)
}

// StopAccepting makes Add and AddAction fail from now on.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// AddAction counts an action as in progress until the returned function is called. It returns false
// if the entry is leaving.
func (t *Table) AddAction() (func(), bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false
	}
	t.actions++
	return t.removeAction, true
}

func (t *Table) removeAction() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.actions--
}

// Len returns the number of requests in progress.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.answers) + t.actions
}

// All returns the current answers.
func (t *Table) All() []*Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Answer, 0, len(t.answers))
	for a := range t.answers {
		all = append(all, a)
	}
	return all
}

// Check detaches all answers from sources that are suspected to be lost. It returns the number of
// new suspicions.
func (t *Table) Check(now time.Time) int {
	suspects := 0
	for _, a := range t.All() {
		if a.Check(now) != generation.SuspicionNone {
			suspects++
		}
	}
	return suspects
}

// HandOver detaches all answers from their sources, so that their callers resume through other
// entries. It returns their number.
func (t *Table) HandOver() int {
	answers := t.All()
	for _, a := range answers {
		a.HandOver()
	}
	return len(answers)
}

// Summary describes an answer in a dump.
type Summary struct {
	RequestID  wigeonfork.RequestID  `json:"request_id"`
	Workspace  wigeonfork.Workspace  `json:"workspace"`
	Class      string                `json:"class"`
	Version    wigeonfork.Version    `json:"version"`
	Generation wigeonfork.Generation `json:"generation"`
	State      string                `json:"state"`
	Agent      string                `json:"agent"`
	Tokens     wigeonfork.Position   `json:"tokens"`
	Counters   generation.Counters   `json:"counters"`
}

// Summary describes a for a dump. It contains no text of the answer.
func (a *Answer) Summary() Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Summary{
		RequestID:  a.Call.RequestID,
		Workspace:  a.Call.Workspace,
		Class:      a.Call.Class.String(),
		Version:    a.Call.Version,
		Generation: a.relay.Generation(),
		State:      a.relay.State(),
		Agent:      a.agent,
		Tokens:     a.relay.Log().Len(),
		Counters:   a.relay.Counters(),
	}
}
