package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/wigeonfork/wigeonfork/memquota"
)

// lastWriteTimeout bounds the write of the last part of an answer.
const lastWriteTimeout = 10 * time.Second

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnOf returns the connection of a request, or nil if its server has no Guard.
func ConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// guardedConnOf returns the guarded connection of a request, or nil.
func guardedConnOf(r *http.Request) *guardedConn {
	c, _ := ConnOf(r.Context()).(*guardedConn)
	return c
}

// Configure makes a server leave its limits to the guard, and tell it of its connections and requests.
func (g *Guard) Configure(server *http.Server) {
	server.MaxHeaderBytes = math.MaxInt32
	server.Handler = guardRequests(server.Handler)
	nextState, nextContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		g.observe(conn, state)
		if nextState != nil {
			nextState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// observe follows the state of a connection.
func (g *Guard) observe(conn net.Conn, state http.ConnState) {
	c, isGuarded := conn.(*guardedConn)
	if !isGuarded {
		return
	}
	switch state {
	case http.StateNew:
		c.beginHead()
	case http.StateIdle:
		c.Answered()
		c.Wait()
		c.beginHead()
	case http.StateActive:
		c.completeHead()
	default:
		c.endHead()
	}
}

// guardRequests counts what requests hold. A request whose connection was closed to make room doesn't run.
func guardRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := guardedConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.Serve() {
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest(w, r)
		next.ServeHTTP(w, r)
	})
}

// endRequest releases what the request holds. The server then sends what is left of the answer, and reads on to the end of the
// request's body, so that the process waits for the client.
func (c *guardedConn) endRequest(w http.ResponseWriter, r *http.Request) {
	c.body.End()
	c.body = nil
	if r.ContentLength != 0 {
		beginBody(w, r)
	}
	c.Wait()
	// Connections of net/http support deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
}

// bodyHold returns what counts the body of a request until its handler returns. It is nil, which is unbounded, if the server has
// no Guard.
func bodyHold(r *http.Request) *memquota.Hold {
	c := guardedConnOf(r)
	if c == nil {
		return nil
	}
	if c.body == nil {
		c.body = c.guard.quota.Begin(memquota.CallerBody, c.Address())
	}
	return c.body
}
