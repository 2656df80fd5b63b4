// Package service is a stand-in for a plain service, which executes non-idempotent requests. It
// accepts calls on any path, records each execution with the claim id of its request and injects
// faults.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

const maxBodyBytes = 16 << 20

// Execution records one executed call. The service also returns it as the response.
type Execution struct {
	Sequence int       `json:"sequence"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	ClaimID  string    `json:"claim_id"`
	Body     []byte    `json:"body"`
	At       time.Time `json:"at"`
}

// Faults are the faults that a Service injects.
type Faults struct {
	// Delay is the time before a call is executed.
	Delay time.Duration
	// Down answers every call with 503 without executing it.
	Down bool
	// FailNext answers the next n calls with 503 without executing them.
	FailNext int
	// DropNextResponses executes the next n calls and closes their connections without a response.
	DropNextResponses int
}

// Service is an HTTP service that records its executions.
type Service struct {
	mu         sync.Mutex
	faults     Faults
	executions []Execution
	received   int
}

// New returns a Service without faults.
func New() *Service { return &Service{} }

// Update changes the faults.
func (s *Service) Update(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Executions returns the executed calls in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Received returns the number of calls received, executed or not.
func (s *Service) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Handler returns the HTTP interface of s.
func (s *Service) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Start serves s on addr, such as 127.0.0.1:0. The executions survive a kill of the server.
func (s *Service) Start(addr string) (*loopback.Server, error) {
	return loopback.Start(addr, s.Handler())
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay, refused := s.receive()
	if refused {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	if !loopback.Sleep(loopback.ServerContext(r.Context()), delay) {
		panic(http.ErrAbortHandler)
	}
	execution, dropped := s.execute(r, body)
	if dropped {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(execution)
}

func (s *Service) receive() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if s.faults.Down {
		return 0, true
	}
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		return 0, true
	}
	return s.faults.Delay, false
}

func (s *Service) execute(r *http.Request, body []byte) (Execution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	execution := Execution{
		Sequence: len(s.executions) + 1,
		Method:   r.Method,
		Path:     r.URL.Path,
		ClaimID:  r.Header.Get(httpbackend.HeaderClaimID),
		Body:     body,
		At:       time.Now(),
	}
	s.executions = append(s.executions, execution)
	drop := s.faults.DropNextResponses > 0
	if drop {
		s.faults.DropNextResponses--
	}
	return execution, drop
}
