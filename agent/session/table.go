package session

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// endedRetention is how long the tokens of an ended generation are kept for an
// entry that has not read them to the end.
const endedRetention = 30 * time.Second

// ErrExists is returned when a generation is begun twice.
var ErrExists = errors.New("generation exists")

// ErrClosed is returned when the table takes no new generation.
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

// Add takes a new session. It fails with ErrExists or ErrClosed.
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

// Get returns the session of key or nil.
func (t *Table) Get(key Key) *Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[key]
}

// CloseToNew makes Add fail from now on.
func (t *Table) CloseToNew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// All returns the sessions at this moment.
func (t *Table) All() []*Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Session, 0, len(t.sessions))
	for _, s := range t.sessions {
		all = append(all, s)
	}
	return all
}

// Unfinished returns the number of sessions that a reader may still ask for:
// those whose end no reader has been sent, and those that ended within the hold,
// since what was sent may be stuck with an entry or on a path that is gone.
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

// Reap cancels sessions without a reader beyond their limit and forgets ended
// ones. It returns the number of sessions cancelled.
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

// Summary is what a dump tells of a session.
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

// Summary returns what a dump tells of s. It holds no text.
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
