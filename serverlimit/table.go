package serverlimit

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// unboundedRate is the rate in requests a second from which on a limit bounds nothing.
	unboundedRate = 100_000
	// endedMemory is the time for which it is remembered that a limit has ended, so that late reports don't
	// bring it back.
	endedMemory = 10 * time.Second
)

// Statement is what a server's answer says about its limit.
type Statement struct {
	// Limited is set if the server names a limit. Rate is the limit in requests a second from all entries
	// together, 0 or more.
	Limited bool
	Rate    float64
}

// bounds reports whether the statement limits anything.
func (s Statement) bounds() bool { return s.Limited && s.Rate < unboundedRate }

// Change says what a statement changes.
type Change uint8

// The changes.
const (
	// Unchanged: the statement is as the last one, or older.
	Unchanged Change = iota
	// Begun: the server had no limit.
	Begun
	// Changed: the server had another limit.
	Changed
	// Ended: the server has no limit any more.
	Ended
)

var changeNames = [...]string{"unchanged", "begun", "changed", "ended"}

// String returns the name of c.
func (c Change) String() string { return changeNames[c] }

// Limit is a limit in force. At is when the answer came that named it last.
type Limit struct {
	Server wigeonfork.BackendServerID
	Rate   float64
	At     time.Time
}

// Table keeps the limits that servers name. A limit begins with the first answer that names it, changes with one that
// names another, and ends with one that names none, or when the server has ended. The newest answer counts, whichever
// entry got it.
type Table struct {
	servers map[wigeonfork.BackendServerID]*record
}

// record is the last statement of one server.
type record struct {
	Statement
	at time.Time
}

// NewTable returns a Table without limits.
func NewTable() *Table { return &Table{servers: make(map[wigeonfork.BackendServerID]*record)} }

// Observe applies the statement of an answer that came at a time, here or at a peer.
func (t *Table) Observe(at time.Time, server wigeonfork.BackendServerID, s Statement) Change {
	known := t.servers[server]
	if known == nil {
		if !s.bounds() {
			return Unchanged
		}
		t.servers[server] = &record{Statement: s, at: at}
		return Begun
	}
	if at.Before(known.at) {
		return Unchanged
	}
	before := known.Statement
	known.Statement, known.at = s, at
	switch {
	case !before.bounds() && s.bounds():
		return Begun
	case before.bounds() && !s.bounds():
		return Ended
	case before.bounds() && before.Rate != s.Rate:
		return Changed
	}
	return Unchanged
}

// Forget drops what is known of a server that has ended.
func (t *Table) Forget(server wigeonfork.BackendServerID) { delete(t.servers, server) }

// Rate returns the limit of a server, and false if it has none.
func (t *Table) Rate(server wigeonfork.BackendServerID) (float64, bool) {
	known := t.servers[server]
	if known == nil || !known.bounds() {
		return 0, false
	}
	return known.Rate, true
}

// Limits returns the limits in force, in no particular order. It forgets those that ended long ago.
func (t *Table) Limits(now time.Time) []Limit {
	var list []Limit
	for server, known := range t.servers {
		switch {
		case known.bounds():
			list = append(list, Limit{Server: server, Rate: known.Rate, At: known.at})
		case now.Sub(known.at) > endedMemory:
			delete(t.servers, server)
		}
	}
	return list
}
