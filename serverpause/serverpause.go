// Package serverpause keeps requests from backend servers that have asked this entry for a pause, and lets them come
// back one after another when it is over.
package serverpause

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// MaxPause bounds a pause. A server that still needs one then asks again.
	MaxPause = time.Hour
	// trialTimeout is the time after which a request that was let through and has no outcome is no longer waited for.
	trialTimeout = 2 * time.Second
	// fullyOpen is the number of requests without outcome from which a server is open again.
	fullyOpen = 16
)

// pause is the state of a server that has asked for one.
type pause struct {
	// until is when the pause ends. Later, at most open requests without outcome may be under way, which were let
	// through at admitted.
	until    time.Time
	open     int
	admitted []time.Time
}

// Table holds the pauses of servers. It is a deterministic decision type: times are arguments, of a clock that goes on
// while the host is suspended, and it does no I/O. It is not safe for concurrent use.
//
// Invariant: no request is admitted to a server within a pause that it has asked for. After it, the requests that are
// admitted before one of them succeeds are one at a time, apart from those without outcome for trialTimeout.
type Table struct {
	pauses map[wigeonfork.BackendServerID]*pause
}

// NewTable returns a Table without pauses.
func NewTable() *Table { return &Table{pauses: make(map[wigeonfork.BackendServerID]*pause)} }

// Asked records that a server has asked for a pause of the given length from now on. A pause that ends sooner than one
// that was asked for before changes nothing. It returns false then, and for a length of 0 or less.
func (t *Table) Asked(now time.Time, id wigeonfork.BackendServerID, length time.Duration) bool {
	if length <= 0 {
		return false
	}
	until := now.Add(min(length, MaxPause))
	p := t.pauses[id]
	if p != nil && !until.After(p.until) {
		return false
	}
	t.pauses[id] = &pause{until: until, open: 1}
	return true
}

// Admit decides whether a request may be sent to a server now, and records it if so.
func (t *Table) Admit(now time.Time, id wigeonfork.BackendServerID) bool {
	p := t.pauses[id]
	if p == nil {
		return true
	}
	if !p.admits(now) {
		return false
	}
	p.admitted = append(p.admitted, now)
	return true
}

func (p *pause) admits(now time.Time) bool {
	if now.Before(p.until) {
		return false
	}
	waiting := p.admitted[:0]
	for _, at := range p.admitted {
		if now.Sub(at) < trialTimeout {
			waiting = append(waiting, at)
		}
	}
	p.admitted = waiting
	return len(waiting) < p.open
}

// Served records that a server has answered a request, sent at the given time, without asking for a pause. It opens the
// server further, unless the request was sent before the pause ended.
func (t *Table) Served(sentAt time.Time, id wigeonfork.BackendServerID) {
	p := t.pauses[id]
	if p == nil || sentAt.Before(p.until) {
		return
	}
	p.open, p.admitted = 2*p.open, p.admitted[:0]
	if p.open >= fullyOpen {
		delete(t.pauses, id)
	}
}

// Blocked returns the servers that get no request now.
func (t *Table) Blocked(now time.Time) []wigeonfork.BackendServerID {
	var list []wigeonfork.BackendServerID
	for id, p := range t.pauses {
		if !p.admits(now) {
			list = append(list, id)
		}
	}
	return list
}

// FreeAt returns when a server may take another request at the earliest, and false if it has asked for no pause.
func (t *Table) FreeAt(now time.Time, id wigeonfork.BackendServerID) (time.Time, bool) {
	p := t.pauses[id]
	switch {
	case p == nil:
		return time.Time{}, false
	case now.Before(p.until):
		return p.until, true
	}
	return now, true
}

// Forget drops what is known of a server that has ended.
func (t *Table) Forget(id wigeonfork.BackendServerID) { delete(t.pauses, id) }
