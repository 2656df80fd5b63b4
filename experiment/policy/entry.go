package policy

import (
	"slices"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

// entry connects the decision types as the entry daemon does.
type entry struct {
	run           *run
	index         int
	domain        wigeonfork.FailureDomain
	router        *routing.Router
	control       *admission.Controller
	detector      *quarantine.Detector
	cursors       map[*entry]uint64
	active        []*stream
	byID          map[wigeonfork.RequestID]*stream
	down          map[wigeonfork.BackendServerID]bool
	outstanding   []int // by engine, for the baselines
	rotationIndex int
	avoidList     []wigeonfork.BackendServerID
}

func newEntry(r *run, index int) *entry {
	s := &r.scenario
	e := &entry{
		run: r, index: index, domain: domainName(index),
		router: routing.New(routing.Options{
			Seed: s.seed + uint64(index), Domain: domainName(index),
			DisabledTerms: s.disabledTerms, Choices: s.choices,
		}),
		detector:    quarantine.New(quarantine.Options{}),
		cursors:     make(map[*entry]uint64),
		byID:        make(map[wigeonfork.RequestID]*stream),
		down:        make(map[wigeonfork.BackendServerID]bool),
		outstanding: make([]int, len(r.engines)),
	}
	capacity := r.entryCapacity()
	if s.unlimited {
		capacity = 1e9
	}
	e.control = admission.New(admission.Options{
		Seed: s.seed + uint64(index), Capacity: capacity, Policy: s.deployment.policy,
	})
	e.detector.SetServerCount(len(r.engines))
	for _, engine := range r.engines {
		e.router.Upsert(routing.Server{
			ID: engine.id, Host: wigeonfork.HostID(engine.id), Domain: engine.domain,
			Versions: []routing.Deployment{{}}, Slots: slotsPerEngine,
		})
	}
	return e
}

// arrive passes a caller's request to quarantine and admission.
func (e *entry) arrive(s *stream) {
	s.entry = e
	verdict := e.detector.Check(e.run.time(), s.key)
	if verdict.Action != quarantine.Run {
		e.run.quarantined(s, verdict)
		return
	}
	e.byID[s.id] = s
	e.apply(e.control.Offer(e.run.time(), e.request(s, false)))
}

func (e *entry) request(s *stream, resume bool) admission.Request {
	req := admission.Request{ID: s.id, Workspace: s.workspace, Class: s.class, Resume: resume}
	if s.deadline > 0 {
		req.Deadline = epoch.Add(s.deadline)
	}
	return req
}

func (e *entry) apply(d admission.Decision) {
	s := e.byID[d.ID]
	switch d.Action {
	case admission.Admit:
		e.dispatch(s)
	case admission.Refuse:
		delete(e.byID, s.id)
		e.run.refused(s, d)
	}
}

func (e *entry) tick() {
	for _, d := range slices.Clone(e.control.Tick(e.run.time())) {
		e.apply(d)
	}
}

// dispatch sends an admitted stream to an engine.
func (e *entry) dispatch(s *stream) {
	engine := e.choose(s)
	if engine == nil {
		e.run.after(retryDispatch, func() {
			if !s.ended {
				e.dispatch(s)
			}
		})
		return
	}
	if !engine.alive {
		// The connection is refused, so the request has not run. Choose again.
		s.exclude = append(s.exclude, engine.id)
		e.run.after(time.Millisecond, func() { e.dispatch(s) })
		return
	}
	now := e.run.time()
	s.engine, s.sentAt, s.begun, s.countedTokens = engine, e.run.now, false, s.delivered
	s.attempts++
	s.priority = e.run.scenario.deployment.policy.Priority(s.class, s.interruptions > 0)
	s.work = routing.Work{Class: s.class, Prefixes: s.prefixes, PromptTokens: uint32(s.promptTokens), MaxTokens: s.maxTokens}
	e.router.Started(now, engine.id, s.work)
	e.detector.Started(now, s.key, engine.id)
	e.outstanding[e.run.indexOf(engine)]++
	s.watch = routing.NewWatch(now, e.router.ExpectedGap(now, engine.id), s.decision.ExpectedWait)
	s.assigned = true
	e.active = append(e.active, s)
	e.run.deliver(engine, s)
}

func (e *entry) choose(s *stream) *engine {
	switch e.run.scenario.chooser {
	case byRoundRobin:
		return e.nextInRotation(s, func(int) bool { return true })
	case byLeastOutstanding:
		least := slices.Min(e.eligible(s))
		return e.nextInRotation(s, func(i int) bool { return e.outstanding[i] == least })
	}
	e.avoidList = e.detector.Avoid(e.run.time(), s.key, e.run.ids, e.avoidList[:0])
	decision, err := e.router.Choose(e.run.time(), routing.Request{
		Workspace: s.workspace, Class: s.class, Prefixes: s.prefixes,
		PromptTokens: uint32(s.promptTokens) + uint32(s.delivered), MaxTokens: s.maxTokens,
		Exclude: s.exclude, Avoid: e.avoidList, Resume: s.interruptions > 0,
	})
	if err != nil {
		return nil
	}
	s.decision = decision
	return e.run.byID[decision.ID]
}

// unreachable exceeds the number of outstanding requests of any engine.
const unreachable = 1 << 30

// eligible returns the number of outstanding requests of each engine. The number is
// unreachable for engines that are down or excluded.
func (e *entry) eligible(s *stream) []int {
	out := make([]int, len(e.run.engines))
	for i, engine := range e.run.engines {
		out[i] = e.outstanding[i]
		if e.down[engine.id] || slices.Contains(s.exclude, engine.id) {
			out[i] = unreachable
		}
	}
	return out
}

func (e *entry) nextInRotation(s *stream, accept func(int) bool) *engine {
	for range e.run.engines {
		e.rotationIndex = (e.rotationIndex + 1) % len(e.run.engines)
		engine := e.run.engines[e.rotationIndex]
		if !e.down[engine.id] && !slices.Contains(s.exclude, engine.id) && accept(e.rotationIndex) {
			return engine
		}
	}
	return nil
}

func (e *entry) unassign(s *stream) {
	s.assigned = false
	if i := slices.Index(e.active, s); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
	}
	e.outstanding[e.run.indexOf(s.engine)]--
}

func (e *entry) finished(s *stream) {
	now := e.run.time()
	e.unassign(s)
	e.router.Finished(now, s.engine.id, s.work, routing.Result{
		Tokens: uint32(s.answerTokens), Duration: e.run.now - s.sentAt,
	})
	e.detector.Completed(now, s.key)
	e.control.Release(now, s.id)
	delete(e.byID, s.id)
}

// checkStreams counts the tokens received since the last check. It reassigns the
// streams that are slow or stalled.
func (e *entry) checkStreams() {
	now := e.run.time()
	for _, s := range slices.Clone(e.active) {
		if !s.assigned {
			continue
		}
		if s.decoding {
			s.engine.advance(e.run.now)
			total := min(s.answerTokens, float64(int(s.engine.tokens-s.tokensBase+1e-6)))
			if n := int(total - s.countedTokens); n > 0 {
				e.router.Progress(now, s.engine.id, n, streamCheckInterval/time.Duration(n))
				s.watch.Tokens(now, n)
				s.countedTokens = total
			}
		}
		health := s.watch.Check(now)
		if health == routing.HealthGood || e.run.scenario.chooser != byScore {
			continue
		}
		if !s.watch.Started() && e.router.FirstTokenSince(s.engine.id, epoch.Add(s.sentAt)) {
			s.watch.Extend(now)
			continue
		}
		e.reassign(s, health)
	}
}

// reassign sends a stream to another engine because its own is slow or stalled.
func (e *entry) reassign(s *stream, health routing.Health) {
	now := e.run.time()
	e.router.MarkUnhealthy(now, s.engine.id, health)
	s.exclude = append(s.exclude, s.engine.id)
	if len(s.exclude) > maxExcluded {
		s.exclude = s.exclude[1:]
	}
	e.run.detach(s)
	e.router.Failed(now, s.engine.id, s.work)
	e.detector.Stopped(now, s.key, s.engine.id)
	e.unassign(s)
	e.dispatch(s)
}

// engineDied marks an engine as dead and resumes its streams.
func (e *entry) engineDied(engine *engine, death quarantine.Death, streams []*stream) {
	now := e.run.time()
	e.down[engine.id] = true
	e.router.SetState(now, engine.id, routing.StateDead)
	e.control.SetCapacity(e.capacity())
	e.detector.EngineDied(now, death)
	for _, s := range streams {
		if s.entry != e || s.ended || s.engine != engine {
			continue
		}
		e.unassign(s)
		e.control.Release(now, s.id)
		s.exclude = []wigeonfork.BackendServerID{engine.id}
		e.resume(s)
	}
	e.tick()
}

func (e *entry) capacity() float64 {
	if e.run.scenario.unlimited {
		return 1e9
	}
	return e.run.entryCapacity()
}

func (e *entry) resume(s *stream) {
	verdict := e.detector.Check(e.run.time(), s.key)
	switch verdict.Action {
	case quarantine.Hold:
		e.run.after(verdict.RetryAfter, func() { e.resume(s) })
	case quarantine.Refuse:
		delete(e.byID, s.id)
		e.run.quarantined(s, verdict)
	default:
		e.apply(e.control.Offer(e.run.time(), e.request(s, true)))
	}
}

func (e *entry) engineRestarted(engine *engine) {
	delete(e.down, engine.id)
	e.router.SetState(e.run.time(), engine.id, routing.StateReady)
	e.control.SetCapacity(e.capacity())
}

// gossip sends the detector's changes to every other entry.
func (e *entry) gossip() {
	for _, peer := range e.run.entries {
		if peer == e {
			continue
		}
		m, cursor := e.detector.Delta(e.cursors[peer])
		e.cursors[peer] = cursor
		if !m.Empty() {
			e.run.after(gossipDelay, func() { peer.detector.Merge(m) })
		}
	}
}

const (
	retryDispatch       = 50 * time.Millisecond
	streamCheckInterval = 100 * time.Millisecond
	gossipDelay         = 5 * time.Millisecond
	maxExcluded         = 3
)

func resendID(s *stream, n int) wigeonfork.RequestID {
	return s.id + wigeonfork.RequestID("-"+strconv.Itoa(n))
}
