// Package loopback runs an HTTP handler on a loopback port. A test can kill, restart, pause and
// continue the server as if it were a process.
package loopback

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout  = 10 * time.Second
	listenAttempts = 50
	listenRetry    = 20 * time.Millisecond
)

type serverContextKey struct{}

// ServerContext returns a context that ends when the server of the request is killed. Handlers
// use it for work that continues after the client has disconnected. For a request that no Server
// serves, it returns the request's context without its cancellation.
func ServerContext(request context.Context) context.Context {
	ctx, ok := request.Value(serverContextKey{}).(context.Context)
	if !ok {
		return context.WithoutCancel(request)
	}
	return ctx
}

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Server serves one handler on one port.
type Server struct {
	handler http.Handler
	gate    Gate
	addr    string

	// lifecycleMu is held by Restart and Close. It is locked before mu.
	lifecycleMu sync.Mutex
	closed      bool

	mu        sync.Mutex
	http      *http.Server
	conns     map[*gatedConn]struct{}
	cancel    context.CancelFunc
	serveDone chan struct{}
	// reserved holds the port while the server is dead.
	reserved *Reservation
}

// Start listens on addr, such as 127.0.0.1:0, and serves handler.
func Start(addr string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, conns: make(map[*gatedConn]struct{})}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s.addr = listener.Addr().String()
	s.serve(listener)
	return s, nil
}

// Addr returns the IP and port of the server, even while it is dead.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.addr }

// Kill resets all connections, refuses new ones and ends a pause. It may be called from a handler.
// It does nothing to a dead server.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	conns := s.conns
	s.conns = make(map[*gatedConn]struct{})
	cancel := s.cancel
	s.mu.Unlock()
	if server == nil {
		return
	}
	cancel()
	for c := range conns {
		c.reset()
	}
	_ = server.Close()
	s.reservePort()
	s.gate.Open()
}

// reservePort keeps the kernel from assigning the port of the dead server to another socket.
// Otherwise Restart could find the port in use.
func (s *Server) reservePort() {
	reserved, err := Reserve(s.addr)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = reserved
}

// takeReservation returns the reservation, if any, and clears it.
func (s *Server) takeReservation() *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	reserved := s.reserved
	s.reserved = nil
	return reserved
}

// Close kills the server permanently and waits until its accept loop has ended. It does not wait
// for handlers.
func (s *Server) Close() {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	s.closed = true
	s.Kill()
	<-s.state().serveDone
	if reserved := s.takeReservation(); reserved != nil {
		// The socket holds no data, so an error is harmless.
		_ = reserved.Close()
	}
}

// Restart serves again on the same port. It does nothing if the server is alive and fails if it
// is closed.
func (s *Server) Restart() error {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	if s.closed {
		return errors.New("server is closed")
	}
	state := s.state()
	if state.alive {
		return nil
	}
	<-state.serveDone
	listener, err := s.relisten()
	if err != nil {
		return err
	}
	s.serve(listener)
	return nil
}

// Pause blocks all reads and writes. Connections stay open.
func (s *Server) Pause() { s.gate.Close() }

// Continue ends a pause.
func (s *Server) Continue() { s.gate.Open() }

// SilenceConnections makes the open connections deliver nothing any more, without closing them. New
// connections work.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

type state struct {
	alive     bool
	serveDone <-chan struct{}
}

func (s *Server) state() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{alive: s.http != nil, serveDone: s.serveDone}
}

func (s *Server) relisten() (net.Listener, error) {
	if reserved := s.takeReservation(); reserved != nil {
		return reserved.Listen()
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", s.addr)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetry)
	}
	return nil, errors.Wrap(err, "listen again")
}

func (s *Server) serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(ctx, serverContextKey{}, ctx)
		},
	}
	serveDone := make(chan struct{})
	s.mu.Lock()
	s.http, s.cancel, s.serveDone = server, cancel, serveDone
	s.mu.Unlock()
	go func() {
		defer close(serveDone)
		_ = server.Serve(&gatedListener{Listener: listener, server: s, http: server})
	}()
}

// add registers c, or returns false if the server that accepted it was killed.
func (s *Server) add(c *gatedConn, accepter *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != accepter {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *gatedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
