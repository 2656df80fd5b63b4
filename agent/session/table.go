package session

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// endedRetention is the maximum time that an ended generation without a reader is
// kept, for an entry that has not read all of its tokens.
const endedRetention = 30 * time.Second

// ErrExists is returned if the table already has a session with the same key.
var ErrExists = errors.New("generation exists")

// ErrClosed is returned by Add after StopAccepting.
var ErrClosed = errors.New("agent is leaving")

// Table holds the sessions of one agent.
type Table struct {
	mu       sync.Mutex
	sessions map[Key]*Session
	closed   bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{sessions: map[Key]*Session{}}
}

// Add adds a session. It fails with ErrExists or ErrClosed.
func (t *Table) Add(s *Session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	if _, ok := t.sessions[s.Key]; ok {
		return ErrExists
	}
	t.sessions[s.Key] = s
	return nil
}

// Get returns the session with the key, or nil.
func (t *Table) Get(key Key) *Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[key]
}

// StopAccepting makes Add fail from now on.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// All returns a snapshot of the sessions, in no particular order.
func (t *Table) All() []*Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Session, 0, len(t.sessions))
	for _, s := range t.sessions {
		all = append(all, s)
	}
	return all
}

// Unfinished returns the number of sessions that a reader may still attach to.
// These are the sessions whose end was not sent to any reader, and those that
// ended less than hold ago and were not released: what was sent may be lost with
// an entry or on a failed connection.
func (t *Table) Unfinished(now time.Time, hold time.Duration) int {
	unfinished := 0
	for _, s := range t.All() {
		if s.unfinished(now, hold) {
			unfinished++
		}
	}
	return unfinished
}

func (s *Session) unfinished(now time.Time, hold time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endSent || !s.released && now.Sub(s.endedAt) < hold
}

// Reap cancels the sessions that have run without a reader for longer than their
// orphan limit, and removes the expired ones. It returns the number of cancelled
// sessions.
func (t *Table) Reap(now time.Time) int {
	cancelled := 0
	for _, s := range t.All() {
		orphan, expired := s.expiry(now)
		if orphan {
			s.Cancel()
			cancelled++
		}
		if expired {
			t.remove(s.Key)
		}
	}
	return cancelled
}

func (t *Table) remove(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, key)
}

// expiry reports whether s is an orphan to cancel, or ended long enough ago to be
// removed.
func (s *Session) expiry(now time.Time) (orphan, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	detached := !s.detachedAt.IsZero()
	orphan = detached && !s.ended && now.Sub(s.detachedAt) > s.orphanLimit
	expired = detached && s.ended && now.Sub(latest(s.detachedAt, s.endedAt)) > min(endedRetention, s.orphanLimit)
	return orphan, expired
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Summary is the state of a session in a state dump.
type Summary struct {
	RequestID  wigeonfork.RequestID  `json:"request_id"`
	Generation wigeonfork.Generation `json:"generation"`
	Class      string                `json:"class"`
	Version    wigeonfork.Version    `json:"version"`
	Tokens     wigeonfork.Position   `json:"tokens"`
	Attached   bool                  `json:"attached"`
	Ended      bool                  `json:"ended"`
	Failure    string                `json:"failure,omitempty"`
}

// Summary returns the state of s for a state dump. It contains no prompt or
// answer text.
func (s *Session) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Summary{
		RequestID:  s.Key.RequestID,
		Generation: s.Key.Generation,
		Class:      s.Call.Class.String(),
		Version:    s.Call.Version,
		Tokens:     s.log.Len(),
		Attached:   s.detachedAt.IsZero(),
		Ended:      s.ended,
	}
	if s.failure != 0 {
		out.Failure = s.failure.String()
	}
	return out
}
