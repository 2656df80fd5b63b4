package policy

import (
	"time"

	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

const slowSpeed = 0.1

// bringAbout does a fault to its engines.
func (r *run) bringAbout(f fault) {
	if len(f.engines) == 0 {
		f.engines = []int{r.random.IntN(len(r.engines))}
	}
	for _, i := range f.engines {
		r.damage(r.engines[i], &f)
	}
}

func (r *run) damage(e *engine, f *fault) {
	if !e.alive {
		return
	}
	if f.change == faultDeath {
		r.kill(e)
		return
	}
	e.advance(r.now)
	switch f.change {
	case faultSlow:
		e.speed = slowSpeed
	case faultStop:
		e.speed = stoppedSpeed
	case faultDeaf:
		e.deaf = true
	}
	r.reschedule(e)
	incarnation := e.incarnation
	r.after(f.lasts, func() {
		if e.incarnation != incarnation || !e.alive {
			return
		}
		e.advance(r.now)
		e.speed, e.deaf = 1, false
		e.fill()
		r.reschedule(e)
	})
}

// nextDeath schedules the next ordinary death of an engine.
func (r *run) nextDeath() {
	if r.scenario.deathsPerMin <= 0 {
		return
	}
	wait := r.random.ExpFloat64() / r.scenario.deathsPerMin * float64(time.Minute)
	r.after(time.Duration(wait), func() {
		if e := r.engines[r.random.IntN(len(r.engines))]; e.alive {
			r.kill(e)
		}
		r.nextDeath()
	})
}

// kill ends an engine, tells the entries shortly after and starts it anew.
func (r *run) kill(e *engine) {
	e.advance(r.now)
	lost := e.die()
	e.version++
	death := r.death(e, lost)
	r.result.deaths++
	for _, s := range lost {
		if s.poison {
			r.result.poisons[s.key]++
		}
		s.interrupts++
		if s.firstAt > 0 && s.resumeFrom == 0 {
			s.resumeFrom = r.now
		}
	}
	r.after(deathSeenAfter, func() {
		for _, peer := range r.entries {
			peer.lost(e, death, peer.streamsOn(e))
		}
	})
	r.after(restartTime, func() {
		e.restart(r.now)
		for _, peer := range r.entries {
			peer.back(e)
		}
	})
}

// death is what the agent beside the engine reports: the streams that were in
// the batch, with how long they had been in it.
func (r *run) death(e *engine, lost []*stream) quarantine.Death {
	d := quarantine.Death{
		ID: quarantine.DeathID{Server: e.id, Incarnation: incarnationName(e.incarnation)},
		At: r.time(),
	}
	for _, s := range lost {
		if s.batchedAt >= s.sentAt {
			resident := quarantine.Resident{Key: s.key, Ran: r.now - s.batchedAt}
			if s.begunAt > s.batchedAt {
				resident.Decoded = r.now - s.begunAt
			}
			d.Residents = append(d.Residents, resident)
		}
	}
	return d
}

// streamsOn returns the entry's streams that were sent to an engine.
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
		Wait: wait, PromptTokens: uint32(s.prompt) + uint32(s.delivered), CachedTokens: uint32(s.cached),
	})
}

// silence is the time since the last token of a stream.
func (e *entry) silence(s *stream) time.Duration {
	return s.watch.Timeout() - s.watch.NextCheck().Sub(e.run.time())
}
