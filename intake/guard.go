package intake

import (
	"net"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/connquota"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Guard is the guard of one listener. It bounds the connections, and holds the quota of the bytes that are received on them.
type Guard struct {
	kind    Kind
	memory  *memquota.Quota
	log     *telemetry.Logger
	metrics telemetry.Registry

	mu    sync.Mutex
	quota *connquota.Quota
	conns map[*connquota.Conn]*Conn

	refusalsMu sync.Mutex
	refusals   map[Refusal]*refusals
}

// Memory returns the quota of the bytes that are held for the peers of the listener.
func (g *Guard) Memory() *memquota.Quota { return g.memory }

// IncompleteLimit returns the number of bytes that incomplete heads may hold.
func (g *Guard) IncompleteLimit() int64 {
	return int64(incompleteFraction * float64(g.memory.Usage().Limit))
}

// Usage is the number of connections at one moment.
type Usage struct{ Open, Waiting int }

// Usage returns the present usage.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Open: g.quota.Open(), Waiting: g.quota.Waiting()}
}

// ReportIncomplete registers the gauge of the bytes that incomplete heads of callers or entries hold. For other kinds it does
// nothing.
func (g *Guard) ReportIncomplete(held func() int64) {
	if g.kind == Callers || g.kind == Entries {
		telemetry.GaugeOf(g.metrics, "heads.incomplete_bytes", held)
	}
}

// Listener returns a listener whose connections, of type *Conn, are counted.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

// listener accepts counted connections.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.accept(conn); c != nil {
			return c, nil
		}
	}
}

// accept counts a connection. It returns nil if the connection was closed, since no other could be.
func (g *Guard) accept(conn net.Conn) *Conn {
	address := hostOf(conn.RemoteAddr())
	c := &Conn{Conn: conn, guard: g, address: address, counted: connquota.NewConn(address)}
	g.mu.Lock()
	g.conns[c.counted] = c
	evicted := g.takeLocked(g.quota.Accept(c.counted, time.Now()))
	isEvicted := c.counted.IsEvicted()
	g.mu.Unlock()
	g.evict(evicted)
	if isEvicted {
		return nil
	}
	return c
}

// hostOf returns an address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// takeLocked returns the connections of evicted ones. The lock must be held.
func (g *Guard) takeLocked(evicted []*connquota.Conn) []*Conn {
	var conns []*Conn
	for _, counted := range evicted {
		conns = append(conns, g.conns[counted])
		delete(g.conns, counted)
	}
	return conns
}

// evict closes connections.
func (g *Guard) evict(conns []*Conn) {
	for _, c := range conns {
		telemetry.Counter(g.metrics, "connections.closed_"+string(g.kind)).Inc(1)
		g.logRefusal(refusalConnection, c.address)
		// A connection that fails to close has ended.
		_ = c.Conn.Close()
	}
}

// Conn is a counted connection.
type Conn struct {
	net.Conn
	guard   *Guard
	address string
	counted *connquota.Conn
}

// Address returns the peer's address without its port.
func (c *Conn) Address() string { return c.address }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Wait records that the process waits for the peer. The connection may then be closed to make room for others.
func (c *Conn) Wait() {
	g := c.guard
	g.mu.Lock()
	evicted := g.takeLocked(g.quota.Wait(c.counted, time.Now()))
	g.mu.Unlock()
	g.evict(evicted)
}

// Serve records that a request is complete, so that the connection is not closed for others until Wait. A connection whose peers
// only read the state of the process may still be. It returns false if the connection was closed meanwhile; the request must not
// run then.
func (c *Conn) Serve() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if shares[c.guard.kind].isReadOnly {
		return !c.counted.IsEvicted()
	}
	return c.guard.quota.Serve(c.counted)
}

// Answered records that a request has ended, with its body read and its answer sent.
func (c *Conn) Answered() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.quota.Answered(c.counted)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.guard
	g.mu.Lock()
	delete(g.conns, c.counted)
	g.quota.Close(c.counted)
	g.mu.Unlock()
	return c.Conn.Close()
}
