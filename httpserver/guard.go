package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnOf returns the connection of a request, or nil if its server has no Guard.
func ConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// Configure makes a server leave its limits to the guard, and tell it of its connections.
func (g *Guard) Configure(server *http.Server) {
	server.MaxHeaderBytes = math.MaxInt32
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
	case http.StateNew, http.StateIdle:
		c.beginHead()
	case http.StateActive:
		c.completeHead()
	default:
		c.endHead()
	}
}
