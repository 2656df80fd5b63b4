package loopback

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// gatedListener wraps each accepted connection in a gatedConn.
type gatedListener struct {
	net.Listener
	server *Server
	http   *http.Server
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &gatedConn{Conn: inner, server: l.server, closed: make(chan struct{})}
		if l.server.add(c, l.http) {
			return c, nil
		}
		c.reset()
	}
}

// gatedConn blocks reads and writes while the server is paused.
type gatedConn struct {
	net.Conn
	server *Server
	once   sync.Once
	closed chan struct{}
	// silent is set once the connection delivers nothing any more, in either direction.
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() && err == nil {
		_, err = c.Conn.Read(p)
		n = 0
	}
	if !c.server.gate.Wait(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.server.gate.Wait(c.closed) {
		return 0, net.ErrClosed
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.server.remove(c)
	return c.Conn.Close()
}

// reset closes c so that the peer receives a TCP reset.
func (c *gatedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ResetConn closes a connection of a Server, which a handler has taken over, so that the peer receives a
// TCP reset.
func ResetConn(conn net.Conn) {
	if c, ok := conn.(*gatedConn); ok {
		c.reset()
		return
	}
	_ = conn.Close()
}
