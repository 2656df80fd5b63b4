// Package connquota bounds the connections that peers of one kind keep to a process, and decides which of them are closed.
//
// Quota is a deterministic decision type without network, clock or goroutine. It is not safe for concurrent use.
package connquota

import (
	"time"

	"github.com/wigeonfork/wigeonfork/eviction"
)

// Classes of waiting connections. One that has had an answer stays 64 times as long as one that has not.
const (
	classAnswered eviction.Class = 0
	classNew      eviction.Class = 6
)

// Limits are the limits on the connections of one kind of peer.
type Limits struct {
	// Open is the number of open connections, Waiting the number of those on which the process waits for the peer.
	Open, Waiting int
}

// Conn is a connection of a peer. Its zero value is not usable; see NewConn.
type Conn struct {
	item *eviction.Item[*Conn]
	// isOpen is set while the connection is counted, isEvicted once it must be closed.
	isOpen, isEvicted bool
	// isAnswered is set once a request on it has ended, with its body read and its answer sent.
	isAnswered bool
}

// NewConn returns a connection from an address that is not counted.
func NewConn(address string) *Conn {
	c := &Conn{}
	c.item = eviction.NewItem(c, address)
	return c
}

// IsEvicted reports whether the connection was closed to make room.
func (c *Conn) IsEvicted() bool { return c.isEvicted }

// Quota counts the connections of one kind of peer. On each the process either waits for the peer, for a request or for the peer
// to read an answer, or it serves a request. Only waiting connections are evicted, so that no request is cut while it runs.
//
// Invariants: at most Limits.Open connections are open, and at most Limits.Waiting of them wait.
type Quota struct {
	limits  Limits
	open    int
	waiting *eviction.Set[*Conn]
}

// New returns a quota without connections. Both limits must be above 0.
func New(limits Limits) *Quota {
	return &Quota{limits: limits, waiting: eviction.NewSet[*Conn]()}
}

// Open returns the number of open connections, evicted ones excluded.
func (q *Quota) Open() int { return q.open }

// Waiting returns the number of waiting connections.
func (q *Quota) Waiting() int { return q.waiting.Len() }

// Accept counts a new connection, which waits. It returns the connections that must be closed to make room. If all others are
// serving, that is the new one.
func (q *Quota) Accept(c *Conn, now time.Time) []*Conn {
	c.isOpen = true
	q.open++
	return q.Wait(c, now)
}

// Wait records that the process waits for the peer: for the next request, the body of the present one, or the reading of its
// answer. It returns the connections that must be closed. The given one is among them only if no other waits. Wait does nothing on a connection that
// is not counted.
func (q *Quota) Wait(c *Conn, now time.Time) []*Conn {
	if !c.isOpen {
		return nil
	}
	q.waiting.Remove(c.item)
	var evicted []*Conn
	for q.open > q.limits.Open || q.waiting.Len() >= q.limits.Waiting {
		victim := c
		if other := q.waiting.Victim(now); other != nil {
			victim = other.Owner
		}
		victim.isEvicted = true
		q.Close(victim)
		evicted = append(evicted, victim)
		if victim == c {
			return evicted
		}
	}
	q.waiting.Put(c.item, now, 1, c.class())
	return evicted
}

func (c *Conn) class() eviction.Class {
	if c.isAnswered {
		return classAnswered
	}
	return classNew
}

// Serve records that a request on the connection is complete. It returns false if the connection was evicted meanwhile; the
// request must not run then.
func (q *Quota) Serve(c *Conn) bool {
	q.waiting.Remove(c.item)
	return !c.isEvicted
}

// Answered records that a request on the connection has ended.
func (q *Quota) Answered(c *Conn) { c.isAnswered = true }

// Close ends the count of a connection. Later calls have no effect.
func (q *Quota) Close(c *Conn) {
	if !c.isOpen {
		return
	}
	c.isOpen = false
	q.waiting.Remove(c.item)
	q.open--
}
