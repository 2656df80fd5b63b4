// Package peer carries control messages between the system's processes and from operators, as
// JSON-RPC over TCP. Each connection starts with a handshake that authenticates the role of the
// dialing side.
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Role determines which methods the other side of a connection may call.
type Role string

// The roles. Each method belongs to exactly one role.
const (
	RolePeer     Role = "peer"
	RoleOperator Role = "operator"
)

// Credentials are the secrets that authenticate the roles.
type Credentials struct {
	Peer     string
	Operator string
}

// Handshake is the first message on a connection.
type Handshake struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Credential string `json:"credential"`
}

// MethodHandshake is the method of a Handshake.
const MethodHandshake = "hello"

// handshakeTimeout bounds the time until the handshake of a new connection.
const handshakeTimeout = 2 * time.Second

// None is the empty request or response.
type None struct{}

// Session is one connection at the server's side. ID and Role are empty until the handshake. ID is
// the name that the other side gave in it.
type Session struct {
	ID   string
	Role Role
	conn *jsonrpc2.Conn
}

// Notify sends a message without waiting for a response.
func (s *Session) Notify(ctx context.Context, method string, message any) error {
	return s.conn.Notify(ctx, method, message)
}

// Done is closed when the connection ends.
func (s *Session) Done() <-chan struct{} { return s.conn.DisconnectNotify() }

// handler serves one method.
type handler struct {
	role  Role
	serve func(ctx context.Context, session *Session, params *json.RawMessage) (any, error)
}

// Server serves control messages.
type Server struct {
	credentials Credentials
	guard       *intake.Guard
	handlers    map[string]handler

	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	listener net.Listener
	closed   bool
	wait     sync.WaitGroup
}

// NewServer returns a server whose connections the guard counts. Register its methods with Handle before Serve.
func NewServer(credentials Credentials, guard *intake.Guard) *Server {
	return &Server{
		credentials: credentials,
		guard:       guard,
		handlers:    map[string]handler{},
		conns:       map[*jsonrpc2.Conn]struct{}{},
	}
}

// Handle registers fn for method. Only connections of role may call it.
func Handle[Request, Response any](s *Server, method string, role Role, fn func(context.Context, *Session, Request) (Response, error)) {
	s.handlers[method] = handler{role: role, serve: func(ctx context.Context, session *Session, params *json.RawMessage) (any, error) {
		var request Request
		if params != nil {
			if err := json.Unmarshal(*params, &request); err != nil {
				return nil, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept, "malformed %s message", method)
			}
		}
		return fn(ctx, session, request)
	}}
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	guarded := s.guard.Listener(listener)
	for {
		conn, err := guarded.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return errors.Wrap(err, "accept control connection")
		}
		s.startSession(conn.(*intake.Conn))
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) startSession(netConn *intake.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = netConn.Close()
		return
	}
	session := &Session{}
	ready := make(chan struct{})
	handler := &connHandler{server: s, session: session, netConn: netConn, ready: ready}
	stream := jsonrpc2.NewBufferedStream(netConn, limitedCodec{maxBytes: handler.maxMessageBytes})
	session.conn = jsonrpc2.NewConn(context.Background(), stream, handler, discardLog)
	close(ready)
	s.conns[session.conn] = struct{}{}
	s.wait.Add(1)
	go s.watchConn(session, handler)
}

// watchConn closes a connection without a timely handshake and removes a connection that ended.
func (s *Server) watchConn(session *Session, handler *connHandler) {
	defer s.wait.Done()
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		if !handler.isAuthenticated() {
			_ = session.conn.Close()
		}
		<-session.Done()
	case <-session.Done():
	}
	s.mu.Lock()
	delete(s.conns, session.conn)
	s.mu.Unlock()
}

// Close stops the server and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// connHandler dispatches the messages of one connection to the server's handlers.
type connHandler struct {
	server  *Server
	session *Session
	netConn *intake.Conn
	// ready is closed once session.conn is set.
	ready chan struct{}

	mu            sync.Mutex
	authenticated bool
}

// maxMessageBytes returns the size of the largest message that is read. Strangers may send a handshake only.
func (c *connHandler) maxMessageBytes() int {
	if c.isAuthenticated() {
		return MaxMessageBytes
	}
	return maxHandshakeBytes
}

func (c *connHandler) isAuthenticated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.authenticated
}

// Handle implements jsonrpc2.Handler. Requests run concurrently. Notifications run in the order of
// arrival.
func (c *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-c.ready
	if req.Method == MethodHandshake {
		c.handleHandshake(ctx, conn, req)
		return
	}
	if req.Notif {
		_, _ = c.dispatch(ctx, req)
		return
	}
	go func() {
		result, err := c.dispatch(ctx, req)
		reply(ctx, conn, req, result, err)
	}()
}

func (c *connHandler) handleHandshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var handshake Handshake
	if req.Params == nil || json.Unmarshal(*req.Params, &handshake) != nil || !c.server.verifyCredential(handshake) {
		reply(ctx, conn, req, nil, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepAccept, "credential is not valid for role %q", handshake.Role))
		return
	}
	if !c.netConn.Serve() {
		// The connection was closed to make room for others.
		return
	}
	c.mu.Lock()
	c.session.ID = handshake.ID
	c.session.Role = handshake.Role
	c.authenticated = true
	c.mu.Unlock()
	reply(ctx, conn, req, None{}, nil)
}

func (s *Server) verifyCredential(handshake Handshake) bool {
	var secret string
	switch handshake.Role {
	case RolePeer:
		secret = s.credentials.Peer
	case RoleOperator:
		secret = s.credentials.Operator
	}
	return secret != "" && subtle.ConstantTimeCompare([]byte(secret), []byte(handshake.Credential)) == 1
}

func (c *connHandler) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	c.mu.Lock()
	role := c.session.Role
	c.mu.Unlock()
	h, ok := c.server.handlers[req.Method]
	if !ok {
		return nil, problem.New(problem.CodeNotFound, problem.RunNot, problem.StepAccept, "unknown method %q", req.Method)
	}
	if role != h.role {
		return nil, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepAccept, "method %q needs role %q", req.Method, h.role)
	}
	return h.serve(ctx, c.session, req.Params)
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	// A send error means that the connection has ended, which is detected elsewhere.
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, encodeError(err))
}
