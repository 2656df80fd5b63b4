// Package session holds the state of the generations on an agent's backend
// server: their tokens, their current reader and how they ended.
//
// Lock order: Table, then Session. Neither is held during I/O.
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

// Key identifies one generation of one request.
type Key struct {
	RequestID  wigeonfork.RequestID
	Generation wigeonfork.Generation
}

// Session holds the state of one generation. Its methods are safe for concurrent
// use.
type Session struct {
	Key Key
	// FirstPosition is the position of the first token that this generation produces.
	FirstPosition wigeonfork.Position
	// Call is the request that began the generation, without its prefix. The
	// tokens of the prefix are in the log.
	Call agentapi.Generate
	// EngineIncarnation and Epoch are the engine's incarnation and the number of
	// its detected deaths when the generation began.
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
	// endSent is true once a reader was sent the end, or the session was released.
	// released is true if no reader is expected any more.
	endSent    bool
	released   bool
	acceptedAt time.Time
	// firstTokenAt is when the first token of this generation arrived from the engine.
	firstTokenAt time.Time
	detachedAt   time.Time
	orphanLimit  time.Duration
	endedAt      time.Time
}

// maxOrphanLimit bounds how long a generation runs without a reader.
const maxOrphanLimit = 2 * time.Minute

// New returns the session of a call. Its log begins with the call's prefix.
// cancel must stop the generation on the engine.
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

// Append appends the tokens of a chunk to the log and skips those that the log
// already holds. It returns false if tokens before the chunk are missing.
func (s *Session) Append(chunk backend.Chunk) bool {
	push, ok := s.append(chunk)
	if push != nil {
		push()
	}
	return ok
}

// append returns the function that sends the new tokens to the reader, or nil if
// no reader is attached.
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

// End marks the answer as complete. It returns false if the chunk's token count
// differs from the log's length or the generation has already ended.
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

// Fail ends the generation with a failure. It returns false if the generation
// has already ended.
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

// notify wakes the reader. The caller holds s.mu.
func (s *Session) notify() {
	if s.wake == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Accepted records the time at which the engine accepted the generation.
func (s *Session) Accepted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedAt = now
}

// RunDuration returns the time since the engine accepted the generation. It also
// reports whether the generation is running; if not, the time has no meaning.
func (s *Session) RunDuration(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.acceptedAt), !s.ended && !s.acceptedAt.IsZero()
}

// FirstToken records the time of the generation's first token. Later calls have no
// effect.
func (s *Session) FirstToken(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = now
	}
}

// DecodeDuration returns the time since the generation's first token, or 0 before it.
func (s *Session) DecodeDuration(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTokenAt.IsZero() {
		return 0
	}
	return now.Sub(s.firstTokenAt)
}

// Len returns the length of the log, which is the position of the next token.
func (s *Session) Len() wigeonfork.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Len()
}

// Cancel stops the generation on the engine.
func (s *Session) Cancel() { s.cancel() }

// Attach registers a new reader and returns its number. It displaces the previous
// reader and wakes it. The session calls push when it has new tokens and sends to
// wake on other changes.
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

// AnyReader allows a reader to displace any other if it is passed to MayAttach as
// previous. No reader has this number.
const AnyReader uint64 = 0

// MayAttach reports whether an entry whose last reader had the number previous may
// attach again or release the session. It may not if another reader displaced it.
func (s *Session) MayAttach(previous uint64) bool {
	return previous == AnyReader || !s.Displaced(previous)
}

// Displaced reports whether another reader has attached after the one with number
// reader.
func (s *Session) Displaced(reader uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerNumber != reader
}

// Detach removes a reader and records the time. It does nothing if the reader was
// displaced.
func (s *Session) Detach(reader uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerNumber == reader {
		s.wake = nil
		s.push = nil
		s.detachedAt = now
	}
}

// Release reduces the time that the generation runs without a reader to linger.
// If linger is 0 or less, the generation is cancelled at once. Its tokens are
// retained for a caller whose resume handle names this generation and not its
// successor.
func (s *Session) Release(linger time.Duration) {
	if linger <= 0 {
		s.cancel()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if linger <= 0 {
		// Table.Unfinished must not count a session that may never be read.
		s.endSent = true
		s.released = true
		return
	}
	s.orphanLimit = min(s.orphanLimit, linger)
}

// Next fills f with the next frame for a reader at position from: tokens, the end
// or a failure. It returns false if there is nothing to send. Appending to the
// session does not invalidate the tokens in f.
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
