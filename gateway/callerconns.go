package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/sockpeek"
)

const (
	// minIdleTimeout and minHeaderTimeout are the least times for which a caller may keep a
	// connection idle and take to send the head of a request. The configuration may allow more.
	minIdleTimeout   = 2 * time.Minute
	minHeaderTimeout = 5 * time.Second
	// defaultMaxHead bounds the head of a request where the configuration sets no limit, or none is known yet, in bytes.
	defaultMaxHead = 256 << 10
)

// callerConnections tracks the connections on which no complete head of a request has arrived since
// they were opened or since the last answer. The timeouts of http.Server can't follow a
// configuration, so this replaces them.
type callerConnections struct {
	mu sync.Mutex
	// waitingSince holds when each connection began to wait for a request.
	waitingSince map[net.Conn]time.Time
}

func newCallerConnections() *callerConnections {
	return &callerConnections{waitingSince: make(map[net.Conn]time.Time)}
}

// observe records a change of the state of a connection. A connection is active once it has
// received the head of a request.
func (c *callerConnections) observe(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		c.waitingSince[conn] = now
		return
	}
	delete(c.waitingSince, conn)
}

// expired returns the connections that have waited for longer than the limits allow.
func (c *callerConnections) expired(now time.Time, limits routetable.Limits) []net.Conn {
	longest := max(minIdleTimeout, limits.IdleTimeout) + max(minHeaderTimeout, limits.HeaderTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, since := range c.waitingSince {
		if now.Sub(since) > longest {
			list = append(list, conn)
		}
	}
	return list
}

// configure makes a server that serves callers report its connections.
func (c *callerConnections) configure(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.ConnState = func(conn net.Conn, state http.ConnState) { c.observe(time.Now(), conn, state) }
}

// maxHead returns the limit on the head of a request in bytes.
func (g *Gateway) maxHead() int64 {
	if limit := g.callerLimits().MaxHeaderBytes; limit > 0 {
		return limit
	}
	return defaultMaxHead
}

// callerLimits returns the limits of the configuration in force, or the zero value if none has been read yet.
func (g *Gateway) callerLimits() routetable.Limits {
	if table := g.config.table(); table != nil {
		return table.Limits()
	}
	return routetable.Limits{}
}

// callerWaits reports whether the caller still waits for the answer. In a busy process the server may
// notice the end of the connection only long after it has arrived, so the connection itself is asked.
func (c *call) callerWaits() bool {
	if c.r.Context().Err() != nil {
		return false
	}
	conn := httpserver.ConnOf(c.r.Context())
	return conn == nil || sockpeek.Peek(httpserver.Unwrap(conn)) != sockpeek.Ended
}

// connectionCheckInterval is the time between two searches for expired connections.
const connectionCheckInterval = time.Second

// expireCallerConnections closes the connections that callers have kept idle for too long, and refuses heads that take too
// long while memory for heads is short, until the gateway ends.
func (g *Gateway) expireCallerConnections() {
	for g.pause(connectionCheckInterval) {
		limits, now := g.callerLimits(), time.Now()
		g.callerGuard.EndOverdue(now, max(minHeaderTimeout, limits.HeaderTimeout))
		for _, conn := range g.callerConns.expired(now, limits) {
			// A connection that fails to close is closed by its own goroutine.
			_ = conn.Close()
		}
	}
}
