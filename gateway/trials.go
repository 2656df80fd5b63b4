package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// trialCoordinators is the number of entries that are asked for a trial, one after another. One may be cut
	// off, and another may just have stopped.
	trialCoordinators = 3
	// maxTrialWait bounds the time for which a request that has not run waits for its trial. It waits
	// for at most a third of what is left of its deadline.
	maxTrialWait         = time.Second
	trialDeadlineDivisor = 3
	// trialRecheck is the time after which a request that waits for its trial looks at the evidence again.
	trialRecheck = 40 * time.Millisecond
)

// trial is the run of a suspect that no other run of an equal request overlaps, or the search for it.
type trial struct {
	request quarantine.TrialRequest
	// ended is closed when the trial has ended.
	ended chan struct{}
	// answers receives the answers of the coordinators.
	answers chan coordinatorAnswer

	// The others are guarded by the lock of trials. coordinator is the entry that granted the trial, or the
	// zero address if none did.
	granted     bool
	coordinator netip.AddrPort
	renewedAt   time.Time
	// sent is set once the request was sent to a server.
	sent bool
}

// coordinatorAnswer is the answer of an entry's coordinator.
type coordinatorAnswer struct {
	from netip.AddrPort
	quarantine.TrialAnswer
}

// trials lets this entry run each suspect once at a time, with the leave of the entry that grants the trials
// of that request. Its lock is held over no I/O.
type trials struct {
	g *Gateway

	mu        sync.Mutex
	byContent map[quarantine.ContentHash]*trial
	byID      map[quarantine.TrialID]*trial
}

func newTrials(g *Gateway) *trials {
	return &trials{g: g, byContent: make(map[quarantine.ContentHash]*trial), byID: make(map[quarantine.TrialID]*trial)}
}

// trialOutcome is the end of the wait for a trial.
type trialOutcome struct {
	// action is Run, Refuse if the request is quarantined, or Hold if it may not run in time.
	action quarantine.Action
	// trial is the trial as which the request runs, which the caller must end. It is nil if the request is no suspect.
	trial *trial
	// retryAfter is set with Hold. It is the time after which the request may run, as far as known.
	retryAfter time.Duration
}

// acquire waits until a request may run, or until it is known that it may not before ctx ends.
func (t *trials) acquire(ctx context.Context, content quarantine.ContentHash) trialOutcome {
	for ctx.Err() == nil {
		decision := t.g.crashes.check(time.Now(), content)
		switch {
		case decision.Action == quarantine.Refuse:
			return trialOutcome{action: quarantine.Refuse}
		case decision.Action == quarantine.Hold:
			if endsWithin(ctx, decision.RetryAfter) {
				return trialOutcome{action: quarantine.Hold, retryAfter: decision.RetryAfter}
			}
			sleepUntil(ctx, nil, min(decision.RetryAfter, maxHoldPause))
		case !decision.Suspect:
			return trialOutcome{action: quarantine.Run}
		default:
			if outcome := t.acquireSuspect(ctx, content, decision.LostServers); outcome.action != 0 {
				return outcome
			}
		}
	}
	return trialOutcome{action: quarantine.Hold}
}

// acquireSuspect waits for the trial of a suspect, or for the end of another one here. The outcome has no action if the
// evidence must be looked at again.
func (t *trials) acquireSuspect(ctx context.Context, content quarantine.ContentHash, lostServers int) trialOutcome {
	own, other := t.enter(content, lostServers)
	if other != nil {
		sleepUntil(ctx, other.ended, trialRecheck)
		return trialOutcome{}
	}
	outcome := t.request(ctx, own)
	if outcome.action != quarantine.Run {
		t.end(own)
	}
	return outcome
}

// endsWithin reports whether ctx ends before d has passed.
func endsWithin(ctx context.Context, d time.Duration) bool {
	end, ok := ctx.Deadline()
	return ok && time.Until(end) < d
}

// sleepUntil waits until done is closed, ctx ends or d has passed.
func sleepUntil(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	}
}

// enter makes a request the one that asks for or makes its trial here, unless there is another one, which it
// returns.
func (t *trials) enter(content quarantine.ContentHash, lostServers int) (own, other *trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if other = t.byContent[content]; other != nil {
		return nil, other
	}
	own = &trial{
		request: quarantine.TrialRequest{ID: quarantine.TrialID(rand.Uint64()), Content: content, LostServers: lostServers},
		ended:   make(chan struct{}), answers: make(chan coordinatorAnswer, trialCoordinators),
	}
	t.byContent[content], t.byID[own.request.ID] = own, own
	return own, nil
}

// request asks the coordinators for a trial. The outcome has no action if the request is no suspect any more, or is
// quarantined, or ctx ends.
func (t *trials) request(ctx context.Context, own *trial) trialOutcome {
	coordinators := t.coordinators(own.request.Content)
	client := quarantine.NewTrialClient(len(coordinators), own.request.LostServers)
	for ctx.Err() == nil {
		step, coordinator, at := client.Next(time.Now())
		switch step {
		case quarantine.StepRun:
			t.grant(own, coordinators, coordinator)
			return trialOutcome{action: quarantine.Run, trial: own}
		case quarantine.StepRefuse:
			return trialOutcome{}
		case quarantine.StepAsk:
			t.ask(own, coordinators[coordinator])
		case quarantine.StepWait:
			if wait := time.Until(at); endsWithin(ctx, wait) {
				return trialOutcome{action: quarantine.Hold, retryAfter: wait}
			}
		}
		if !t.awaitAnswer(ctx, own, client, coordinators, at) {
			return trialOutcome{}
		}
	}
	return trialOutcome{}
}

// awaitAnswer waits for an answer until a time. It returns false if the request is no suspect any more.
func (t *trials) awaitAnswer(ctx context.Context, own *trial, client *quarantine.TrialClient, coordinators []netip.AddrPort, until time.Time) bool {
	timer := time.NewTimer(min(time.Until(until), trialRecheck))
	defer timer.Stop()
	select {
	case answer := <-own.answers:
		for i := range coordinators {
			if coordinators[i] == answer.from {
				client.Answered(time.Now(), i, answer.TrialAnswer)
			}
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	decision := t.g.crashes.check(time.Now(), own.request.Content)
	return decision.Action == quarantine.Run && decision.Suspect
}

// coordinators returns the entries that grant the trials of a request, in the order in which they are asked. The
// address of this entry is the zero address if it has no peers.
func (t *trials) coordinators(content quarantine.ContentHash) []netip.AddrPort {
	if t.g.gossip == nil {
		return []netip.AddrPort{{}}
	}
	return t.g.gossip.owners(time.Now(), uint64(content), trialCoordinators)
}

func (t *trials) isOwn(coordinator netip.AddrPort) bool {
	return t.g.gossip == nil || coordinator == t.g.gossip.self()
}

// ask asks a coordinator for a trial.
func (t *trials) ask(own *trial, coordinator netip.AddrPort) {
	if t.isOwn(coordinator) {
		own.receive(coordinatorAnswer{from: coordinator, TrialAnswer: t.g.crashes.askCoordinator(time.Now(), own.request)})
		return
	}
	t.g.gossip.sendTrialUpdate(coordinator, loadshare.TrialRequestOf(loadshare.TrialAsked, own.request))
}

// receive hands an answer to the request that waits for it. Answers beyond those that it may await are dropped.
func (t *trial) receive(answer coordinatorAnswer) {
	select {
	case t.answers <- answer:
	default:
	}
}

// grant records that a trial begins, with the leave of a coordinator or without.
func (t *trials) grant(own *trial, coordinators []netip.AddrPort, coordinator int) {
	t.mu.Lock()
	own.granted, own.renewedAt = true, time.Now()
	if coordinator < len(coordinators) {
		own.coordinator = coordinators[coordinator]
	}
	t.mu.Unlock()
	telemetry.Counter(t.g.options.Metrics, "crashes.trials").Inc(1)
	t.g.options.Log.Info().Hex("content", contentBytes(own.request.Content)).Int("servers", own.request.LostServers).
		Str("coordinator", own.coordinator.String()).Msg("trial_granted")
}

// end ends a trial, or the search for one.
func (t *trials) end(own *trial) {
	if own == nil {
		return
	}
	t.mu.Lock()
	if t.byID[own.request.ID] != own {
		t.mu.Unlock()
		return
	}
	delete(t.byID, own.request.ID)
	delete(t.byContent, own.request.Content)
	granted, coordinator := own.granted, own.coordinator
	update := loadshare.TrialRequestOf(loadshare.TrialEnded, own.request)
	update.Sent = own.sent
	t.mu.Unlock()
	close(own.ended)
	if granted {
		t.tellCoordinator(coordinator, update)
	}
}

// markSent records that the request of a trial is sent to a server.
func (t *trials) markSent(own *trial) {
	if own == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	own.sent = true
}

// tellCoordinator tells a coordinator of a trial.
func (t *trials) tellCoordinator(coordinator netip.AddrPort, u *loadshare.TrialUpdate) {
	if t.isOwn(coordinator) {
		t.g.crashes.coordinatorTold(time.Now(), u)
		return
	}
	if coordinator.IsValid() {
		t.g.gossip.sendTrialUpdate(coordinator, u)
	}
}

// renew renews the trials under way at the coordinators that grant them now.
func (t *trials) renew(now time.Time) {
	for _, r := range t.renewals(now) {
		t.tellCoordinator(t.coordinators(r.Content)[0], loadshare.TrialRequestOf(loadshare.TrialRenewed, r))
	}
}

// renewals returns the trials that must be renewed, and records them as renewed.
func (t *trials) renewals(now time.Time) []quarantine.TrialRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []quarantine.TrialRequest
	for _, own := range t.byID {
		if own.granted && now.Sub(own.renewedAt) >= quarantine.TrialRenewal {
			own.renewedAt = now
			due = append(due, own.request)
		}
	}
	return due
}

// handle handles a peer's update.
func (t *trials) handle(now time.Time, sender netip.AddrPort, u *loadshare.TrialUpdate) {
	switch u.Kind {
	case loadshare.TrialAsked:
		answer := t.g.crashes.askCoordinator(now, u.Request())
		t.g.gossip.sendTrialUpdate(sender, loadshare.TrialAnswerOf(u.Request(), answer))
	case loadshare.TrialAnswered:
		t.handleAnswer(sender, u)
	case loadshare.TrialRenewed, loadshare.TrialEnded:
		t.g.crashes.coordinatorTold(now, u)
	}
}

// handleAnswer handles the answer of a coordinator. A trial that is granted to no request here is ended.
func (t *trials) handleAnswer(sender netip.AddrPort, u *loadshare.TrialUpdate) {
	t.mu.Lock()
	own := t.byID[u.ID]
	waits := own != nil && !own.granted
	isNeeded := waits || own != nil && own.coordinator == sender
	t.mu.Unlock()
	if waits {
		own.receive(coordinatorAnswer{from: sender, TrialAnswer: u.Answer()})
	}
	if u.Granted && !isNeeded {
		t.tellCoordinator(sender, loadshare.TrialRequestOf(loadshare.TrialEnded, u.Request()))
	}
}

// owners returns the live entries that come first for a key.
func (s *gossiper) owners(now time.Time, key uint64, n int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Owners(now, key, n)
}

// self returns the address of this entry's listener.
func (s *gossiper) self() netip.AddrPort { return s.peers.Self() }

func (s *gossiper) sendTrialUpdate(to netip.AddrPort, u *loadshare.TrialUpdate) {
	datagram, err := loadshare.AppendTrialUpdate(nil, s.port, u)
	if err != nil {
		s.g.options.Log.Error().Err(err).Msg("trial_not_told")
		return
	}
	s.sendAll([]netip.AddrPort{to}, datagram)
}

// handleTrialUpdate handles a datagram about a trial.
func (s *gossiper) handleTrialUpdate(now time.Time, data []byte, from netip.AddrPort) error {
	sender, update, err := loadshare.ParseTrialUpdate(data, from)
	if err != nil {
		return err
	}
	s.recordPeer(now, sender)
	s.g.trials.handle(now, sender, update)
	return nil
}
