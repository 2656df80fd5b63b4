package engine

import (
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

const (
	// maxCatchUp bounds the delay that a stream makes up for by generating tokens faster.
	maxCatchUp = 100 * time.Millisecond
	// burstTokens is the number of tokens generated at once without pacing.
	burstTokens = 16
	// The salts for sampled, one for each kind of fault.
	saltFail      = 1
	saltWrongStop = 2
)

// generate runs st from the queue to its end.
func (s *Server) generate(st *stream, w *waiter) {
	defer s.workers.Done()
	defer st.cancel()
	if !s.acquire(st.ctx, st.inc, w) {
		s.recordStop(st)
		return
	}
	defer s.release(st.inc)
	s.log.start(st.run)
	if s.waitRunnable(st) && loopback.Sleep(st.ctx, s.prefill(st)) {
		s.generateTokens(st)
	}
	s.recordStop(st)
}

// prefill adds the prompt to the cache and returns the time that the prefill takes.
func (s *Server) prefill(st *stream) time.Duration {
	options := s.options.Load()
	prompt := uint32((len(st.req.Prompt) + bytesPerToken - 1) / bytesPerToken)
	s.mu.Lock()
	cached := min(prompt, st.inc.cache.fill(prefixHashes(st.req), options.CacheBlocks, time.Now()))
	s.mu.Unlock()
	st.change(func(p *progress) {
		p.promptTokens = prompt
		p.cachedTokens = cached
	})
	return time.Duration(int(prompt-cached)+st.from()) * options.PrefillPerToken
}

func (s *Server) generateTokens(st *stream) {
	next := time.Now()
	end := s.endPosition(st)
	for position := st.from(); position < end; {
		if !s.waitRunnable(st) {
			return
		}
		options := s.options.Load()
		if s.applyFault(st, options, position) {
			return
		}
		wait := options.tokenTime(int(st.inc.running.Load())-1, s.slowFactor(st, options))
		step := 1
		if wait == 0 {
			step = min(burstTokens, end-position, s.tokensUntilFault(st, options, position))
		} else {
			next = next.Add(wait)
			if earliest := time.Now().Add(-maxCatchUp); next.Before(earliest) {
				next = earliest
			}
			if !loopback.Sleep(st.ctx, time.Until(next)) || !s.waitRunnable(st) {
				return
			}
		}
		position += step
		s.log.recordTokens(st.run, position)
		st.change(func(p *progress) { p.until = position })
	}
	s.finish(st, end)
}

func (s *Server) finish(st *stream, end int) {
	stop := st.answer.stop
	if end < st.answer.length {
		stop = backend.StopEnd
	}
	s.log.close(st.run, RunFinished)
	st.change(func(p *progress) {
		p.end = RunFinished
		p.stop = stop
	})
}

// recordStop records the end of a stream that was cancelled or killed. It does nothing if the end
// is recorded already.
func (s *Server) recordStop(st *stream) {
	if st.snapshot().end != RunOpen {
		return
	}
	end := RunCancelled
	if st.inc.ctx.Err() != nil {
		end = RunKilled
	}
	s.log.close(st.run, end)
	st.change(func(p *progress) {
		p.end = end
		p.message = "generation " + string(end)
	})
}

// waitRunnable waits while the engine is paused or stuck. It returns false if st ended.
func (s *Server) waitRunnable(st *stream) bool {
	for {
		if !s.gate.Wait(st.ctx.Done()) {
			return false
		}
		if !s.options.Load().Stuck {
			return st.ctx.Err() == nil
		}
		updates := s.updates()
		if !s.options.Load().Stuck {
			continue
		}
		select {
		case <-updates:
		case <-st.ctx.Done():
			return false
		}
	}
}

// endPosition returns the position at which the answer ends. A wrong stop ends it at half its
// length, but not before the prefix.
func (s *Server) endPosition(st *stream) int {
	for _, fault := range s.activeFaults(st, s.options.Load()) {
		if sampled(st.hash, saltWrongStop, fault.WrongStopRate) {
			return max(st.from(), (st.answer.length+1)/2)
		}
	}
	return st.answer.length
}

// applyFault kills the engine or fails st if a fault is due at position. It returns whether it did.
func (s *Server) applyFault(st *stream, options *Options, position int) bool {
	if isPoison(st, options) && position-st.from() >= options.PoisonAfterTokens {
		s.crash(st.inc)
		return true
	}
	for _, fault := range s.activeFaults(st, options) {
		if position >= fault.FailAtToken && sampled(st.hash, saltFail, fault.FailRate) {
			s.fail(st)
			return true
		}
	}
	return false
}

// tokensUntilFault returns how many tokens may be generated before applyFault must be called again.
func (s *Server) tokensUntilFault(st *stream, options *Options, position int) int {
	steps := burstTokens
	if isPoison(st, options) {
		steps = min(steps, options.PoisonAfterTokens-(position-st.from()))
	}
	for _, fault := range options.Faults {
		if fault.FailAtToken > position {
			steps = min(steps, fault.FailAtToken-position)
		}
	}
	return max(steps, 1)
}

func (s *Server) fail(st *stream) {
	s.log.close(st.run, RunFailed)
	st.change(func(p *progress) {
		p.end = RunFailed
		p.message = "generation failed"
	})
}

func (s *Server) slowFactor(st *stream, options *Options) float64 {
	factor := 1.0
	for _, fault := range s.activeFaults(st, options) {
		if fault.SlowFactor > 0 {
			factor *= fault.SlowFactor
		}
	}
	return factor
}

// activeFaults returns the faults that currently apply to st.
func (s *Server) activeFaults(st *stream, options *Options) []VersionFault {
	var active []VersionFault
	for _, fault := range options.Faults {
		if fault.matches(st) {
			active = append(active, fault)
		}
	}
	return active
}

func (f *VersionFault) matches(st *stream) bool {
	if f.Model != "" && f.Model != st.req.Model {
		return false
	}
	if f.Version != "" && f.Version != st.req.Version {
		return false
	}
	if f.Adapter != "" && f.Adapter != st.req.Adapter {
		return false
	}
	if f.Workspace != "" && f.Workspace != st.req.User {
		return false
	}
	if f.AboveRunning > 0 && int(st.inc.running.Load()) <= f.AboveRunning {
		return false
	}
	return time.Since(st.inc.started) >= f.After
}

func isPoison(st *stream, options *Options) bool {
	return options.Poison != "" && strings.Contains(st.req.Prompt, options.Poison)
}
