package policy

import (
	"time"

	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

const slowFactor = 0.1

// injectFault applies a fault to its engines, or to a random one if it lists none.
func (r *run) injectFault(f fault) {
	if len(f.engines) == 0 {
		f.engines = []int{r.random.IntN(len(r.engines))}
	}
	for _, i := range f.engines {
		r.damageEngine(r.engines[i], &f)
	}
}

func (r *run) damageEngine(e *engine, f *fault) {
	if !e.alive {
		return
	}
	if f.kind == faultDeath {
		r.kill(e)
		return
	}
	e.advance(r.now)
	switch f.kind {
	case faultSlow:
		e.speed = slowFactor
	case faultStop:
		e.speed = stoppedSpeed
	case faultUnresponsive:
		e.unresponsive = true
	}
	r.reschedule(e)
	incarnation := e.incarnation
	r.after(f.duration, func() {
		if e.incarnation != incarnation || !e.alive {
			return
		}
		e.advance(r.now)
		e.speed, e.unresponsive = 1, false
		e.fillBatch()
		r.reschedule(e)
	})
}

// scheduleDeath schedules the next ordinary engine death, one that no request causes.
func (r *run) scheduleDeath() {
	if r.scenario.deathsPerMin <= 0 {
		return
	}
	wait := r.random.ExpFloat64() / r.scenario.deathsPerMin * float64(time.Minute)
	r.after(time.Duration(wait), func() {
		if e := r.engines[r.random.IntN(len(r.engines))]; e.alive {
			r.kill(e)
		}
		r.scheduleDeath()
	})
}

// kill ends an engine, notifies the entries after deathReportDelay and restarts
// the engine after restartTime.
func (r *run) kill(e *engine) {
	e.advance(r.now)
	lost := e.die()
	e.eventVersion++
	death := r.deathReport(e, lost)
	r.result.deaths++
	for _, s := range lost {
		if s.poison {
			r.result.poisons[s.key]++
		}
		s.interruptions++
		if s.firstTokenAt > 0 && s.interruptedAt == 0 {
			s.interruptedAt = r.now
		}
	}
	r.after(deathReportDelay, func() {
		for _, peer := range r.entries {
			peer.engineDied(e, death, peer.streamsOn(e))
		}
	})
	r.after(restartTime, func() {
		e.restart(r.now)
		for _, peer := range r.entries {
			peer.engineRestarted(e)
		}
	})
}

// deathReport returns the agent's report of an engine death: the streams that were
// in the batch, and how long each had been running.
func (r *run) deathReport(e *engine, lost []*stream) quarantine.Death {
	d := quarantine.Death{
		ID: quarantine.DeathID{Server: e.id, Incarnation: incarnationName(e.incarnation)},
		At: r.time(),
	}
	for _, s := range lost {
		if s.batchedAt >= s.sentAt {
			resident := quarantine.Resident{Key: s.key, Ran: r.now - s.batchedAt}
			if s.decodeStartedAt > s.batchedAt {
				resident.Decoded = r.now - s.decodeStartedAt
			}
			d.Residents = append(d.Residents, resident)
		}
	}
	return d
}

// streamsOn returns the entry's active streams on an engine.
func (e *entry) streamsOn(engine *engine) []*stream {
	var out []*stream
	for _, s := range e.active {
		if s.engine == engine {
			out = append(out, s)
		}
	}
	return out
}

func (e *entry) firstToken(engine *engine, s *stream, wait time.Duration) {
	e.router.FirstToken(e.run.time(), engine.id, routing.FirstToken{
		Wait: wait, PromptTokens: uint32(s.promptTokens) + uint32(s.delivered), CachedTokens: uint32(s.cachedTokens),
	})
}

// idleTime returns the time since the last token of a stream.
func (e *entry) idleTime(s *stream) time.Duration {
	return s.watch.Timeout() - s.watch.NextCheck().Sub(e.run.time())
}
