// Package engine is a stand-in for a model engine with continuous batching. It generates a
// deterministic answer, so that a test can compare every token, and injects faults.
//
// # Protocol
//
// POST /v1/completions with a httpbackend.CompletionRequest returns server-sent events. Each event
// is "data: " and a JSON object:
//
//	data: {"position":N,"tokens":[{"id":1,"text":"base64"}]}
//	data: {"position":N,"finish_reason":"stop","usage":{"prompt_tokens":1,"cached_tokens":0,"completion_tokens":N}}
//	data: [DONE]
//
// position is the index of the event's first token in the complete answer. completion_tokens counts
// the complete answer, including prefix_tokens. A failure in the middle of a stream is the event
// {"error":{"message":"..."}}. prefix_tokens are the ids of output tokens that the caller already
// has; the stream starts after them. Status 422 means that they don't match the answer, 404 that
// the version is not loaded, 409 that the stream id is in use, 429 that the queue is full. Requests
// with a higher priority leave the queue first.
//
// GET /v1/streams/{id}?from=N resumes a stream at a position. DELETE /v1/streams/{id} cancels it.
//
// GET /v1/load returns a backend.LoadReport. GET /v1/cache/events?since=N returns
// httpbackend.CacheEvents with sequence numbers above N. POST /v1/orders takes a backend.Order and
// answers 202, or 409 if the engine checks fencing numbers and saw a higher one. GET /healthz
// answers 200.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Server is one engine without a port. Reset replaces its incarnation.
type Server struct {
	options atomic.Pointer[Options]
	gate    loopback.Gate
	onCrash func(restartAfter time.Duration)
	workers sync.WaitGroup

	mu           sync.Mutex
	updated      chan struct{}
	current      *incarnation
	incarnations int
	log          runLog
	orders       []backend.Order
	refused      []backend.Order
}

// New returns a Server in its first incarnation.
func New(options Options) *Server {
	s := &Server{updated: make(chan struct{})}
	s.options.Store(&options)
	s.current = s.newIncarnation()
	return s
}

// Options returns the current settings.
func (s *Server) Options() Options { return *s.options.Load() }

// Update changes the settings. They also apply to queued and running streams.
func (s *Server) Update(change func(*Options)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	options := *s.options.Load()
	change(&options)
	s.options.Store(&options)
	s.current.grant(&options)
	close(s.updated)
	s.updated = make(chan struct{})
}

// Reset ends all streams, discards the engine's state and starts a new incarnation. The logs of
// runs and orders are kept.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.cancel()
	s.current = s.newIncarnation()
}

// Close ends all streams and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.current.cancel()
	s.mu.Unlock()
	s.workers.Wait()
}

// Orders returns the executed orders in order of execution.
func (s *Server) Orders() []backend.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]backend.Order(nil), s.orders...)
}

// RefusedOrders returns the orders that were refused because of an old fencing number.
func (s *Server) RefusedOrders() []backend.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]backend.Order(nil), s.refused...)
}

// updates returns a channel that is closed by the next Update.
func (s *Server) updates() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updated
}

// crash ends the engine on a poison request. Without onCrash it starts a new incarnation at once.
func (s *Server) crash(inc *incarnation) {
	if s.onCrash != nil {
		s.onCrash(s.options.Load().RestartAfter)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == inc {
		s.current.cancel()
		s.current = s.newIncarnation()
	}
}
