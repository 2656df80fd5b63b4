// Package engine is a small stand-in for a model engine with continuous
// batching. It generates a deterministic answer, so that a test can compare
// every token, and fails in the ways that engines fail.
//
// # Protocol
//
// POST /v1/completions with a httpbackend.CompletionRequest answers with
// server-sent events. Each event is "data: " and a JSON object:
//
//	data: {"position":N,"tokens":[{"id":1,"text":"base64"}]}
//	data: {"position":N,"finish_reason":"stop","usage":{"prompt_tokens":1,"cached_tokens":0,"completion_tokens":N}}
//	data: [DONE]
//
// position is the index of the event's first token in the whole answer, and
// completion_tokens counts the whole answer, prefix_tokens included. A failure
// in the middle of a stream is the event {"error":{"message":"..."}}.
// prefix_tokens are the ids of output tokens that the caller already has; the
// stream starts behind them. Status 422 says that they do not belong to the
// answer, 404 that the version is not loaded, 409 that the stream id is in
// use, 429 that the queue is full. A higher priority leaves the queue first.
//
// GET /v1/streams/{id}?from=N takes a stream up again at a position. DELETE
// /v1/streams/{id} cancels it.
//
// GET /v1/load answers a backend.LoadReport. GET /v1/cache/events?since=N
// answers httpbackend.CacheEvents with higher sequence numbers than N. POST
// /v1/orders takes a backend.Order and answers 202, or 409 if the engine
// checks fencing numbers and saw a higher one. GET /healthz answers 200.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Server is one engine. Its incarnations follow each other through Reset.
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

// Options returns the present settings.
func (s *Server) Options() Options { return *s.options.Load() }

// Update changes the settings. Waiting and running streams follow them.
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

// Reset ends all streams, forgets all state and begins a new incarnation. The
// log of what ran is kept.
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

// Orders returns the orders that were carried out, in their order.
func (s *Server) Orders() []backend.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]backend.Order(nil), s.orders...)
}

// RefusedOrders returns the orders that were refused for an old fencing
// number.
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

// crash ends this engine as a poison request does.
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
