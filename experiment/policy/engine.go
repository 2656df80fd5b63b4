package policy

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

const (
	batchGrowth      = 0.8 // growth of the inter-token time from an empty to a full batch
	prefillSlowdown  = 1.2 // growth of the inter-token time while a prompt is prefilled
	slotsPerEngine   = 16
	cacheTokens      = 60_000
	stoppedSpeed     = 1e-9
	minPrefillTime   = 2 * time.Millisecond
	poisonCrashToken = 3 // a poison request crashes its engine at this token
)

// engine models one inference engine: a priority queue, prompts that are prefilled
// one at a time, a batch that decodes together and a prefix cache of limited size.
type engine struct {
	id           wigeonfork.BackendServerID
	domain       wigeonfork.FailureDomain
	gap          float64 // inter-token time in an empty batch, seconds
	prefillRate  float64 // tokens per second
	speed        float64 // 1 is normal
	unresponsive bool    // accepts requests but starts none
	alive        bool
	incarnation  int

	waiting []*stream
	prefill []*stream // the first is in progress
	decode  []*stream

	updatedAt   time.Duration
	tokens      float64 // tokens generated for each stream of the batch, summed up over time
	prefillLeft float64 // seconds at normal speed

	cache        []cachedPrefix // least recently used first
	cacheSize    int
	eventVersion uint64 // pending events of an earlier version are ignored
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

func (e *engine) batchSize() int { return len(e.prefill) + len(e.decode) }

// tokenRate returns the tokens per second of each stream.
func (e *engine) tokenRate() float64 {
	gap := e.gap * (1 + batchGrowth*float64(e.batchSize())/slotsPerEngine)
	if len(e.prefill) > 0 {
		gap *= prefillSlowdown
	}
	return e.speed / gap
}

// advance brings the engine's state up to now.
func (e *engine) advance(now time.Duration) {
	passed := (now - e.updatedAt).Seconds()
	e.updatedAt = now
	if !e.alive || passed <= 0 {
		return
	}
	e.tokens += passed * e.tokenRate()
	if len(e.prefill) > 0 {
		e.prefillLeft -= passed * e.speed
	}
}

// nextEvent returns the time at which the next prefill or answer ends. It returns
// false if none is in progress or the engine is dead or stopped.
func (e *engine) nextEvent() (time.Duration, bool) {
	if !e.alive || e.speed <= stoppedSpeed {
		return 0, false
	}
	wait := math.Inf(1)
	if len(e.prefill) > 0 {
		wait = max(0, e.prefillLeft) / e.speed
	}
	for _, s := range e.decode {
		wait = min(wait, max(0, s.endTokens()-e.tokens)/e.tokenRate())
	}
	if math.IsInf(wait, 1) {
		return 0, false
	}
	return e.updatedAt + time.Duration(wait*float64(time.Second)) + 1, true
}

// add queues a request behind those of at least its priority.
func (e *engine) add(s *stream) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority < s.priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, s)
	e.fillBatch()
}

func (e *engine) fillBatch() {
	for !e.unresponsive && len(e.waiting) > 0 && e.batchSize() < slotsPerEngine {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.batchedAt = e.updatedAt
		e.queuePrefill(s)
	}
}

// queuePrefill queues a prompt behind those of at least its priority. It does not
// preempt the prefill in progress.
func (e *engine) queuePrefill(s *stream) {
	i := len(e.prefill)
	for i > 1 && e.prefill[i-1].priority < s.priority {
		i--
	}
	e.prefill = slices.Insert(e.prefill, i, s)
	if len(e.prefill) == 1 {
		e.beginPrefill()
	}
}

func (e *engine) beginPrefill() {
	s := e.prefill[0]
	hit := e.lookup(s)
	s.cachedTokens = hit
	uncached := s.promptTokens + int(s.delivered) - hit
	e.prefillLeft = max(minPrefillTime.Seconds(), float64(uncached)/e.prefillRate)
}

// step processes the events that are due. It returns the streams that have produced
// their first token and those that have ended.
func (e *engine) step(now time.Duration) (begun, ended []*stream) {
	e.advance(now)
	for len(e.prefill) > 0 && e.prefillLeft <= 1e-9 {
		s := e.prefill[0]
		e.prefill = e.prefill[1:]
		s.tokensBase = e.tokens - s.delivered
		s.decoding = true
		e.decode = append(e.decode, s)
		begun = append(begun, s)
		if len(e.prefill) > 0 {
			e.beginPrefill()
		}
	}
	for i := 0; i < len(e.decode); {
		s := e.decode[i]
		if e.tokens+1e-6 >= s.endTokens() {
			s.delivered = s.endTokens() - s.tokensBase
			ended = append(ended, s)
			e.decode = slices.Delete(e.decode, i, i+1)
			continue
		}
		i++
	}
	e.fillBatch()
	return begun, ended
}

// remove cancels a stream on the engine.
func (e *engine) remove(s *stream) {
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.decode = slices.DeleteFunc(e.decode, same)
	if i := slices.Index(e.prefill, s); i >= 0 {
		e.prefill = slices.Delete(e.prefill, i, i+1)
		if i == 0 && len(e.prefill) > 0 {
			e.beginPrefill()
		}
	}
	s.decoding = false
	e.fillBatch()
}

// die ends the engine and returns the streams that it loses.
func (e *engine) die() []*stream {
	lost := slices.Concat(e.decode, e.prefill, e.waiting)
	for _, s := range lost {
		if s.decoding {
			s.delivered = min(s.answerTokens, math.Floor(e.tokens-s.tokensBase))
		}
		s.decoding = false
	}
	e.alive = false
	e.waiting, e.prefill, e.decode, e.cache, e.cacheSize = nil, nil, nil, nil, 0
	return lost
}

func (e *engine) restart(now time.Duration) {
	e.updatedAt, e.alive, e.speed, e.unresponsive = now, true, 1, false
	e.incarnation++
}

// lookup returns the cached tokens of a stream's prompt, and caches its prefixes.
func (e *engine) lookup(s *stream) int {
	hit := 0
	for _, p := range s.prefixes {
		i := slices.IndexFunc(e.cache, func(c cachedPrefix) bool { return c.hash == p.Hash })
		if i >= 0 {
			hit = int(p.Tokens)
			e.cache = slices.Delete(e.cache, i, i+1)
			e.cacheSize -= int(p.Tokens)
		}
		e.cache = append(e.cache, cachedPrefix{hash: p.Hash, tokens: int(p.Tokens)})
		e.cacheSize += int(p.Tokens)
	}
	for e.cacheSize > cacheTokens && len(e.cache) > 0 {
		e.cacheSize -= e.cache[0].tokens
		e.cache = e.cache[1:]
	}
	return hit
}

func (e *engine) load(at time.Time) backend.LoadReport {
	return backend.LoadReport{
		Running: e.batchSize(), Waiting: len(e.waiting), Slots: slotsPerEngine,
		MeasuredAt: at, Incarnation: incarnationName(e.incarnation),
	}
}
