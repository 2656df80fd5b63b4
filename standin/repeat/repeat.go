// Package repeat runs an HTTP handler as a server that sends each of its answers a second time, where the answer to the
// next request on the connection is expected.
package repeat

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Answer is an answer that can be sent several times. It implements http.ResponseWriter.
type Answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Record returns the answer of a handler to a request.
func Record(handler http.Handler, q *http.Request) *Answer {
	answer := &Answer{header: make(http.Header), status: http.StatusOK}
	handler.ServeHTTP(answer, q)
	return answer
}

// Header implements http.ResponseWriter.
func (a *Answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *Answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *Answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// Send writes the answer to a connection.
func (a *Answer) Send(conn io.Writer) error {
	response := http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header,
		Body: io.NopCloser(bytes.NewReader(a.body.Bytes())), ContentLength: int64(a.body.Len()),
	}
	return response.Write(conn)
}

// Server serves a handler on a loopback port.
type Server struct {
	handler  http.Handler
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// Start starts a server.
func Start(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{handler: handler, listener: listener}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wait.Go(s.accept)
	return s, nil
}

// Addr returns the IP and port of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.wait.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	in := bufio.NewReader(conn)
	var last *Answer
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if last != nil && last.Send(conn) != nil {
			return
		}
		last = Record(s.handler, request)
		if _, err := io.Copy(io.Discard, request.Body); err != nil || last.Send(conn) != nil {
			return
		}
	}
}
