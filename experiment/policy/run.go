package policy

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	tickInterval     = 20 * time.Millisecond
	reportInterval   = 500 * time.Millisecond
	gossipInterval   = 500 * time.Millisecond
	minReportLag     = 100 * time.Millisecond
	maxReportLag     = 700 * time.Millisecond
	maxCacheEventLag = 2 * time.Second
	messageLossRate  = 0.1
	deathReportDelay = 20 * time.Millisecond
	restartTime      = 10 * time.Second
	resendShare      = 0.5 // of the refused callers resend
	maxResends       = 3
	poisonResends    = 6
	sameDomainDelay  = 300 * time.Microsecond
	crossDomainDelay = 1300 * time.Microsecond
)

// run is one scenario in progress.
type run struct {
	clock
	scenario scenario
	random   *rand.Rand
	source   generator
	engines  []*engine
	ids      []wigeonfork.BackendServerID
	byID     map[wigeonfork.BackendServerID]*engine
	indexes  map[*engine]int
	entries  []*entry
	result   *result
	resends  map[quarantine.Key]int
}

// simulate runs a scenario and returns its measurements.
func simulate(s scenario) *result {
	r := &run{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)),
		byID:    make(map[wigeonfork.BackendServerID]*engine),
		indexes: make(map[*engine]int), result: newResult(&s),
		resends: make(map[quarantine.Key]int),
	}
	r.source = generator{deployment: &r.scenario.deployment, random: rand.New(rand.NewPCG(s.seed, 2))}
	r.engines = newEngines(&r.scenario.deployment)
	for i, e := range r.engines {
		r.ids = append(r.ids, e.id)
		r.byID[e.id], r.indexes[e] = e, i
	}
	for i := range s.deployment.entries {
		r.entries = append(r.entries, newEntry(r, i))
	}
	r.schedule()
	r.run(s.end())
	return r.result
}

func (r *run) schedule() {
	r.arrivals()
	for _, e := range r.entries {
		r.every(tickInterval, e.tick)
		r.every(streamCheckInterval, e.checkStreams)
		r.every(gossipInterval, e.gossip)
	}
	for _, e := range r.engines {
		r.after(time.Duration(r.random.Int64N(int64(reportInterval))), func() {
			r.every(reportInterval, func() { r.report(e) })
		})
	}
	for _, f := range r.scenario.faults {
		r.at(f.at, func() { r.injectFault(f) })
	}
	for _, at := range r.scenario.poisons {
		r.at(at, r.poison)
	}
	r.scheduleDeath()
}

func (r *run) indexOf(e *engine) int { return r.indexes[e] }

func (r *run) entryCapacity() float64 {
	slots := 0
	for _, e := range r.engines {
		if e.alive {
			slots += slotsPerEngine
		}
	}
	return float64(slots) / float64(r.scenario.deployment.entries)
}

func (r *run) arrivals() {
	load := r.scenario.load(r.now)
	rate := load * r.scenario.capacity / r.scenario.deployment.meanTokens()
	wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.after(wait, func() {
		s := r.source.next(r.now)
		r.result.offered(s)
		r.send(s)
		r.arrivals()
	})
}

// send passes a request to a random entry, as a load balancer does.
func (r *run) send(s *stream) { r.entries[r.random.IntN(len(r.entries))].arrive(s) }

func (r *run) poison() {
	s := r.source.next(r.now)
	s.poison = true
	r.result.poisons[s.key] = 0
	r.send(s)
}

// resend sends a refused request again under another ID, unless it has been resent
// limit times. It counts as offered again, since the refusal counts too.
func (r *run) resend(s *stream, wait time.Duration, limit int) {
	r.sendAgain(s, wait, limit, true)
}

// resendHeld is resend for a request that was held. It was neither refused nor
// finished, so it counts as offered once.
func (r *run) resendHeld(s *stream, wait time.Duration) {
	r.sendAgain(s, wait, poisonResends, false)
}

func (r *run) sendAgain(s *stream, wait time.Duration, limit int, newOffer bool) {
	r.resends[s.key]++
	n := r.resends[s.key]
	if n > limit {
		return
	}
	next := *s
	next.id = resendID(s, n)
	next.delivered, next.countedTokens, next.interruptions, next.attempts = 0, 0, 0, 0
	next.interruptedAt, next.firstTokenAt, next.exclude, next.ended = 0, 0, nil, false
	next.assigned = false
	r.after(wait, func() {
		next.arrived = r.now
		if s.deadline > 0 {
			next.deadline = r.now + s.deadline - s.arrived
		}
		if newOffer {
			r.result.offered(&next)
		}
		r.send(&next)
	})
}

// quarantined handles a request that quarantine holds or refuses. The caller resends
// a request that is held, and a poison request also if it is refused.
func (r *run) quarantined(s *stream, v quarantine.Decision) {
	wait := max(v.RetryAfter, time.Second) + time.Duration(r.random.Int64N(int64(2*time.Second)))
	if v.Action == quarantine.Hold {
		r.result.held++
		r.resendHeld(s, wait)
		return
	}
	s.ended = true
	if s.poison {
		r.resend(s, wait, poisonResends)
		return
	}
	r.result.innocentsRefused++
}

func (r *run) refused(s *stream, d admission.Decision) {
	s.ended = true
	r.result.refused(s, d)
	if s.poison {
		r.resend(s, d.RetryAfter, poisonResends)
		return
	}
	if !d.Resume && r.random.Float64() < resendShare {
		r.resend(s, d.RetryAfter, maxResends)
	}
}

func (r *run) networkDelay(e *entry, engine *engine) time.Duration {
	if e.domain == engine.domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// deliver adds a stream to an engine after the network delay.
func (r *run) deliver(e *engine, s *stream) {
	attempt := s.attempts
	r.after(r.networkDelay(s.entry, e), func() {
		if s.ended || s.attempts != attempt || s.engine != e {
			return
		}
		if !e.alive {
			return // lost in transit; the entry resumes it after the death report
		}
		e.advance(r.now)
		e.add(s)
		r.reschedule(e)
	})
}

func (r *run) reschedule(e *engine) {
	e.eventVersion++
	version := e.eventVersion
	when, ok := e.nextEvent()
	if !ok {
		return
	}
	r.at(when, func() {
		if e.eventVersion == version {
			r.stepEngine(e)
		}
	})
}

func (r *run) stepEngine(e *engine) {
	begun, ended := e.step(r.now)
	for _, s := range begun {
		r.firstToken(e, s)
	}
	for _, s := range ended {
		if s.poison {
			e.decode = append(e.decode, s)
			r.kill(e)
			return
		}
	}
	for _, s := range ended {
		s.decoding, s.ended = false, true
		r.result.finished(r.now, s)
		s.entry.finished(s)
	}
	r.reschedule(e)
}

func (r *run) firstToken(e *engine, s *stream) {
	delay := r.networkDelay(s.entry, e)
	uncached := s.promptTokens + int(s.delivered) - s.cachedTokens
	r.result.prefilled(s, uncached)
	s.countedTokens, s.decodeStartedAt = s.delivered, r.now
	if s.firstTokenAt == 0 {
		s.firstTokenAt = r.now + delay
		r.result.first(s)
	}
	if s.interruptedAt > 0 {
		r.result.resumed(s, r.now+delay-s.interruptedAt)
		s.interruptedAt = 0
	}
	s.watch.Tokens(r.time(), 1)
	s.entry.firstToken(e, s, r.now+delay-s.sentAt)
	for _, p := range s.prefixes {
		for _, peer := range r.entries {
			if peer != s.entry && r.random.Float64() >= messageLossRate {
				r.after(time.Duration(r.random.Int64N(int64(maxCacheEventLag))), func() {
					peer.router.CacheEvent(r.time(), e.id, backend.CacheEvent{Prefix: p.Hash, Tokens: p.Tokens})
				})
			}
		}
	}
}

// detach removes a stream from a live engine, to be resumed on another.
func (r *run) detach(s *stream) {
	e := s.engine
	e.advance(r.now)
	if s.decoding {
		s.delivered = s.countedTokens
	}
	if s.interruptedAt == 0 && s.firstTokenAt > 0 {
		s.interruptedAt = r.now - s.entry.idleTime(s)
	}
	s.interruptions++
	s.attempts++
	e.remove(s)
	r.result.reassigned++
	r.reschedule(e)
}

func (r *run) report(e *engine) {
	if !e.alive || e.speed <= stoppedSpeed {
		return
	}
	load := e.load(r.time())
	for _, peer := range r.entries {
		if r.random.Float64() < messageLossRate {
			continue
		}
		lag := minReportLag + time.Duration(r.random.Int64N(int64(maxReportLag-minReportLag)))
		r.after(lag, func() { peer.router.Report(r.time(), e.id, load) })
	}
}
