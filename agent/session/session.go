// Package session holds the generations that run on the backend server beside
// an agent: their tokens, the entry that reads them, and their end.
//
// Lock order: Table, then Session. Neither is held over I/O.
package session

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
)

// Key names one generation of one request.
type Key struct {
	RequestID  wigeonfork.RequestID
	Generation wigeonfork.Generation
}

// Session is one generation on this agent. Its methods are safe for concurrent
// use.
type Session struct {
	Key Key
	// FirstPosition is the position of the first token that this generation produces.
	FirstPosition wigeonfork.Position
	// Call began the generation. Its prefix is in the log instead.
	Call agentapi.Generate
	// EngineIncarnation and Epoch are those of the engine when the generation
	// began.
	EngineIncarnation string
	Epoch             uint64

	cancel func()

	mu           sync.Mutex
	log          generation.Log
	promptTokens uint32
	cachedTokens uint32
	stop         backend.StopReason
	ended        bool
	failure      frame.Failure
	message      string
	readerNumber uint64
	wake         chan struct{}
	push         func()
	// endSent: the end was sent to a reader. released: no reader will come.
	endSent     bool
	released    bool
	acceptedAt  time.Time
	detachedAt  time.Time
	orphanLimit time.Duration
	endedAt     time.Time
}

// maxOrphanLimit bounds how long a generation goes on without a reader.
const maxOrphanLimit = 2 * time.Minute

// New returns the session of a call, whose log begins with the call's prefix.
// cancel stops the production of tokens.
func New(call *agentapi.Generate, now time.Time, cancel func()) *Session {
	s := &Session{
		Key:         Key{RequestID: call.RequestID, Generation: call.Generation},
		Call:        *call,
		cancel:      cancel,
		orphanLimit: min(time.Duration(call.OrphanMillis)*time.Millisecond, maxOrphanLimit),
		detachedAt:  now,
	}
	s.Call.Prefix = nil
	for _, token := range call.Prefix {
		s.log.Append(token)
	}
	s.FirstPosition = s.log.Len()
	return s
}

// Append adds the tokens of a chunk. Tokens that are known already are skipped;
// it returns false if tokens are missing before the chunk.
func (s *Session) Append(chunk backend.Chunk) bool {
	push, ok := s.append(chunk)
	if push != nil {
		push()
	}
	return ok
}

// append returns what sends the new tokens to the reader, if there is one.
func (s *Session) append(chunk backend.Chunk) (func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.log.Len()
	if chunk.Position > next {
		return nil, false
	}
	known := int(next - chunk.Position)
	if known < len(chunk.Tokens) {
		for _, token := range chunk.Tokens[known:] {
			s.log.Append(token)
		}
	}
	if chunk.PromptTokens > 0 {
		s.promptTokens = chunk.PromptTokens
		s.cachedTokens = chunk.CachedTokens
	}
	return s.push, true
}

// End notes that the answer is whole. It returns false if the engine's count
// of tokens differs from what it sent.
func (s *Session) End(chunk backend.Chunk, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if chunk.Position != s.log.Len() || s.ended {
		return false
	}
	if chunk.PromptTokens > 0 {
		s.promptTokens = chunk.PromptTokens
		s.cachedTokens = chunk.CachedTokens
	}
	s.stop = chunk.Stop
	s.finish(now)
	return true
}

// Fail notes that this generation yields no further token. It returns false if
// the generation has ended before.
func (s *Session) Fail(failure frame.Failure, message string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.failure = failure
	s.message = message
	s.finish(now)
	return true
}

func (s *Session) finish(now time.Time) {
	s.ended = true
	s.endedAt = now
	s.notify()
}

func (s *Session) notify() {
	if s.wake == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Accepted notes that the engine has taken the generation.
func (s *Session) Accepted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedAt = now
}

// RunDuration returns how long the engine has been running the generation, and whether
// it still is.
func (s *Session) RunDuration(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.acceptedAt), !s.ended && !s.acceptedAt.IsZero()
}

// Len returns the next position to produce.
func (s *Session) Len() wigeonfork.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Len()
}

// Cancel stops the production of tokens.
func (s *Session) Cancel() { s.cancel() }

// Attach makes a new reader the only one and returns its number. New tokens
// are sent by calls of push; wake wakes the reader for all else. An earlier
// reader finds itself displaced.
func (s *Session) Attach(wake chan struct{}, push func()) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
	s.readerNumber++
	s.wake = wake
	s.push = push
	s.detachedAt = time.Time{}
	return s.readerNumber
}

// AnyReader stands for a reader that may displace any other.
const AnyReader uint64 = 0

// MayAttach reports whether a reader that was attached as previous may attach
// again: no other has taken its place since.
func (s *Session) MayAttach(previous uint64) bool {
	return previous == AnyReader || !s.Displaced(previous)
}

// Displaced reports whether another reader has taken the place of reader.
func (s *Session) Displaced(reader uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerNumber != reader
}

// Detach notes that a reader went away.
func (s *Session) Detach(reader uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerNumber == reader {
		s.wake = nil
		s.push = nil
		s.detachedAt = now
	}
}

// Release shortens the time that the session goes on without a reader. With
// no time left it ends the production of tokens at once; the tokens are kept
// for a caller whose handle is older than the next generation.
func (s *Session) Release(linger time.Duration) {
	if linger <= 0 {
		s.cancel()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if linger <= 0 {
		// A leaving agent does not wait for a reader that may never come.
		s.endSent = true
		s.released = true
		return
	}
	s.orphanLimit = min(s.orphanLimit, linger)
}

// Next fills f with what a reader at position from is to send next. It returns
// false if there is nothing new. The tokens of f stay valid.
func (s *Session) Next(reader uint64, from wigeonfork.Position, f *frame.Frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	*f = frame.Frame{Generation: s.Key.Generation, Tokens: f.Tokens[:0]}
	if s.readerNumber != reader {
		f.Kind = frame.KindFailure
		f.Failure = frame.FailureDisplaced
		return true
	}
	if from < s.log.Len() {
		f.Kind = frame.KindTokens
		f.Position = from
		f.PromptTokens = s.promptTokens
		f.CachedTokens = s.cachedTokens
		f.Tokens = s.log.AppendFrame(f.Tokens, from, frame.MaxTokens, frame.MaxTextBytes)
		return true
	}
	if !s.ended {
		return false
	}
	s.endSent = true
	s.fillEnd(f)
	return true
}

func (s *Session) fillEnd(f *frame.Frame) {
	f.Position = s.log.Len()
	if s.failure != frame.FailureNone {
		f.Kind = frame.KindFailure
		f.Failure = s.failure
		f.Message = s.message
		return
	}
	f.Kind = frame.KindEnd
	f.Stop = s.stop
	f.PromptTokens = s.promptTokens
	f.CachedTokens = s.cachedTokens
}

// Heartbeat fills f with a heartbeat.
func (s *Session) Heartbeat(f *frame.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*f = frame.Frame{Kind: frame.KindHeartbeat, Generation: s.Key.Generation, Position: s.log.Len(), Tokens: f.Tokens[:0]}
}
