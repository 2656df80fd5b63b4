package engine

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = httpbackend.PrefixBlockBytes / httpbackend.PrefixBlockTokens

// refusal is a response that starts no stream.
type refusal struct {
	status int
	err    error
}

func refuse(status int, format string, args ...any) *refusal {
	return &refusal{status: status, err: errors.Newf(format, args...)}
}

// accept validates req and queues its stream.
func (s *Server) accept(req httpbackend.CompletionRequest) (*stream, *refusal) {
	st := &stream{
		req:     req,
		hash:    xxhash.Sum64String(req.StreamID),
		answer:  newAnswer(req.Model, req.Version, req.Prompt, req.Seed, req.MaxTokens),
		readers: make(map[chan struct{}]struct{}),
	}
	if req.StreamID == "" {
		return nil, refuse(http.StatusBadRequest, "no stream id")
	}
	if !st.answer.prefixMatches(req.PrefixTokens) {
		return nil, refuse(http.StatusUnprocessableEntity, "prefix does not belong to the answer")
	}
	st.progress.until = st.from()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.admit(st); r != nil {
		return nil, r
	}
	s.start(st)
	return st, nil
}

// admit runs the checks that depend on the state of the engine. s.mu is held.
func (s *Server) admit(st *stream) *refusal {
	options := s.options.Load()
	inc := s.current
	if inc.ctx.Err() != nil {
		return refuse(http.StatusServiceUnavailable, "engine is closed")
	}
	if inc.streams[st.req.StreamID] != nil {
		return refuse(http.StatusConflict, "stream %s exists", st.req.StreamID)
	}
	if !options.AnyVersion && !inc.versions[versionKey{st.req.Model, st.req.Version}] {
		return refuse(http.StatusNotFound, "version %s of %s is not loaded", st.req.Version, st.req.Model)
	}
	if len(inc.queue) >= options.maxQueue() {
		return refuse(http.StatusTooManyRequests, "queue is full")
	}
	st.inc = inc
	for _, fault := range s.activeFaults(st, options) {
		if fault.FailAtToken == 0 && sampled(st.hash, saltFail, fault.FailRate) {
			s.log.close(s.log.open(st.newRun()), RunFailed)
			return refuse(http.StatusInternalServerError, "generation failed")
		}
	}
	return nil
}

// start queues st and starts its worker. s.mu is held.
func (s *Server) start(st *stream) {
	inc := st.inc
	st.ctx, st.cancel = context.WithCancel(inc.ctx)
	st.run = s.log.open(st.newRun())
	inc.streams[st.req.StreamID] = st
	w := inc.enqueue(st.req.Priority, s.options.Load())
	s.workers.Add(1)
	go s.generate(st, w)
}

func (st *stream) newRun() Run {
	from := wigeonfork.Position(st.from())
	return Run{
		StreamID: st.req.StreamID, Incarnation: st.inc.id,
		Model: st.req.Model, Version: st.req.Version,
		Adapter: st.req.Adapter, Workspace: st.req.User,
		From: from, Until: from,
	}
}

// find returns the stream with the given id, or nil.
func (s *Server) find(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.streams[id]
}

// abandon cancels and removes st unless it has a reader.
func (s *Server) abandon(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.readerless() {
		s.remove(st)
	}
}

// remove cancels st and removes it from its incarnation. s.mu is held.
func (s *Server) remove(st *stream) {
	st.cancel()
	if st.inc.streams[st.req.StreamID] == st {
		delete(st.inc.streams, st.req.StreamID)
	}
}

func prefixHashes(req httpbackend.CompletionRequest) []uint64 {
	return httpbackend.PrefixHashes(req.Model, req.Version, req.Adapter, req.Prompt)
}
