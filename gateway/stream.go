package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/waitqueue"
)

const (
	// maxStreamSends bounds all sends of one stream, including those that did not
	// run.
	maxStreamSends = 12
	// callerWriteTimeout bounds one write to a caller.
	callerWriteTimeout = 10 * time.Second
	// firstEventTimeoutMin is the least time that a live server has for the first
	// event before the run is moved to another. The timeout is firstEventWaitFactor
	// times the expected wait if that is longer.
	firstEventTimeoutMin = 6 * time.Second
	firstEventWaitFactor = 4
	// resumeWait is the longest time that a lost stream waits for a server to resume
	// it.
	resumeWait = 3 * time.Second
	// resumePoll is the time between two searches for such a server.
	resumePoll = 40 * time.Millisecond
	// domainAvoidPeriod is the time after a server's loss in which its failure domain
	// is avoided. Other servers there may be lost without having been detected yet.
	domainAvoidPeriod = 2 * time.Second
	// speedSampleEvents is the number of events per speed sample.
	speedSampleEvents = 10
)

// runEnd classifies the end of one run of a stream.
type runEnd uint8

const (
	// runComplete: the stream is complete.
	runComplete runEnd = iota
	// runNotRun: the server did not run the request.
	runNotRun
	// runLost: the run was interrupted and may continue at another server.
	runLost
	// runFailed: the server answered with an error.
	runFailed
	// runCallerGone: the caller has disconnected.
	runCallerGone
)

var runEndNames = [...]string{"complete", "not_run", "lost", "failed", "caller_gone"}

func (e runEnd) String() string { return runEndNames[e] }

// stream serves a request that is answered by events. If a run is lost, the answer
// continues at another server after the last delivered event.
func (c *call) stream() {
	ctx := c.r.Context()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
	}
	s := &streamCall{call: c, ctx: ctx, lastEvent: c.caller.LastEvent, out: httpserver.NewStreamWriter(c.w, callerWriteTimeout)}
	defer s.dropBackup()
	if s.lastEvent > 0 && !s.fleet.knowsCache(&c.caller.Prompt) {
		s.surveys.await(ctx, c.service)
	}
	s.serve()
}

// target is the server of the next run of a stream.
type target struct {
	place *placement
	// hasCopy is set if the server holds a copy of the last run's KV cache. copySource is zero unless a copyKeeper made
	// that copy.
	hasCopy    bool
	copySource copySource
}

// streamCall is the state of a call that is answered by a stream.
type streamCall struct {
	*call
	ctx       context.Context
	out       *httpserver.StreamWriter
	lastEvent uint64
	// delivered counts the events sent to the caller.
	delivered int
	// totalSends counts all sends, including those that did not run.
	totalSends int
	// backup is the server that holds a copy of the last run's KV cache.
	// backupSource is zero unless a copyKeeper made that copy.
	backup       *directory.Entry
	backupSource copySource
	// failure is a server's error answer. It is delivered if no run succeeds.
	failure *sendResult
	tried   []serverID
	// lostAt is when the last run was lost; zero once the stream has resumed.
	lostAt time.Time
	// lostDomain is the failure domain of the server that was lost at lostDomainAt.
	lostDomain   wigeonfork.FailureDomain
	lostDomainAt time.Time
	// moveReserved is set once the retry budget was charged for the next run. It is written under
	// the fleet's lock while a run is watched.
	moveReserved bool
	// timed is the present run, and watch its failure detection.
	timed *timedRun
	watch health.StreamID
	// runBegun is set once the present run has sent an event.
	runBegun bool
	// lastWrite is when the last event was sent to the caller.
	lastWrite time.Time
}

func (s *streamCall) serve() {
	for {
		target, refusal := s.nextTarget()
		if refusal != nil {
			s.fail(refusal)
			return
		}
		before := s.lastEvent
		end, err := s.run(target)
		s.logRun(target, end, err)
		switch end {
		case runComplete:
			s.outcome = "answered"
			s.crashes.completed(time.Now(), s.content)
			return
		case runCallerGone:
			s.callerGone()
		case runNotRun:
			s.possibleRuns--
			s.tried = append(s.tried, target.place.ID)
			s.dropBackup()
		case runFailed, runLost:
			s.tried = append(s.tried, target.place.ID)
			s.lostAt = time.Now()
			if s.lastEvent == before {
				// A run without events has left no copy to resume from.
				s.dropBackup()
			}
		}
		if s.ctx.Err() != nil || s.isLate(time.Now()) {
			s.fail(problem.New(problem.CodeTooLate, s.runState(), problem.StepRelay, "no answer in time"))
			return
		}
	}
}

func (s *streamCall) logRun(t target, end runEnd, err error) {
	if end == runComplete {
		return
	}
	telemetry.Counter(s.options.Metrics, "streams.run_"+end.String()).Inc(1)
	s.options.Log.Info().Str("request", string(s.caller.ID)).Hex("content", contentBytes(s.content)).
		Str("server", string(t.place.ID)).Str("end", end.String()).Uint64("last_event", s.lastEvent).Bool("copied", t.hasCopy).Err(err).Msg("stream_run_ended")
}

// runState returns whether the request may have run.
func (s *streamCall) runState() problem.RunState {
	if s.possibleRuns == 0 {
		return problem.RunNot
	}
	return problem.RunUnknown
}

// nextTarget chooses where the stream runs next: at the copy of the last run's KV
// cache if there is one, else at any other server.
func (s *streamCall) nextTarget() (target, *problem.Error) {
	if refusal := s.mayRunAgain(); refusal != nil {
		return target{}, refusal
	}
	now := time.Now()
	if t, ok := s.resumeAtBackup(now); ok {
		return t, nil
	}
	until := now.Add(resumeWait)
	for {
		if refusal := s.partGuard.check(now, s.call, s.runState(), problem.StepDispatch); refusal != nil {
			return target{}, refusal
		}
		place, err := s.choose(now)
		switch {
		case err == nil && s.totalSends == 0:
			return s.admitFirst(now, place)
		case err == nil:
			return s.countSend(place, false), nil
		case s.possibleRuns == 0:
			return target{}, s.notPlaced(err)
		case !sleepIn(s.ctx, resumePoll) || time.Now().After(until):
			return target{}, problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "no backend server takes the stream up")
		}
		now = time.Now()
	}
}

// notPlaced returns the refusal of a stream that has not run and finds no server.
func (s *streamCall) notPlaced(err error) *problem.Error {
	switch {
	case s.r.Context().Err() != nil:
		s.callerGone()
	case errors.Is(err, errLeaving):
		return s.draining()
	}
	return s.noServer(err)
}

// admitFirst accepts the server of the first run, unless the answer can't be complete
// there before the deadline or the gateway's end.
func (s *streamCall) admitFirst(now time.Time, place *placement) (target, *problem.Error) {
	switch {
	case s.stopsBefore(place.expectedTotal):
		s.fleet.failed(now, place, s.work)
		return target{}, s.draining()
	case !s.inTime(now, place):
		s.fleet.failed(now, place, s.work)
		return target{}, problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepAdmit,
			"the answer needs about %v, which is more than is left", place.expectedTotal.Round(time.Millisecond))
	}
	return s.countSend(place, false), nil
}

// countSend counts a send to a server and returns the server as target.
func (s *streamCall) countSend(place *placement, hasCopy bool) target {
	s.possibleRuns++
	s.totalSends++
	s.server = place.ID
	s.logSent(place, s.totalSends, hasCopy)
	return target{place: place, hasCopy: hasCopy}
}

// mayRunAgain returns nil if the stream may be sent to a server, else the refusal. It
// charges the retry budget for each send but the first.
func (s *streamCall) mayRunAgain() *problem.Error {
	if s.totalSends == 0 {
		return nil
	}
	refusal := s.noFurtherRun()
	if !s.hasSendsLeft() {
		return refusal
	}
	if refusal := s.awaitTrial(); refusal != nil {
		return refusal
	}
	if quarantined := s.partGuard.check(time.Now(), s.call, s.runState(), problem.StepResume); quarantined != nil {
		return quarantined
	}
	if !s.takeRetry(time.Now()) {
		return refusal
	}
	s.moveReserved = false
	return nil
}

// noFurtherRun returns the refusal of a stream that is sent to no further server. One that only was refused has not run,
// and its caller may come back.
func (s *streamCall) noFurtherRun() *problem.Error {
	if s.possibleRuns == 0 {
		return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepResume, "%d backend servers refuse the stream", s.totalSends).
			After(s.jitter(noServerRetry))
	}
	return problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "the stream was lost at %d backend servers", s.possibleRuns)
}

// awaitTrial waits until the stream may run again, as a trial if equal requests were lost with their servers. It
// returns the refusal, or nil.
func (s *streamCall) awaitTrial() *problem.Error {
	ctx, cancel := context.WithTimeout(s.ctx, resumeWait)
	defer cancel()
	switch s.acquireTrial(ctx).action {
	case quarantine.Run:
		return nil
	case quarantine.Refuse:
		return problem.New(problem.CodeBackendFailed, problem.RunUnknown, problem.StepResume, "the request crashes backend servers")
	}
	if s.ctx.Err() != nil {
		return problem.New(problem.CodeTooLate, s.runState(), problem.StepResume, "no answer in time")
	}
	return problem.New(problem.CodeInterrupted, s.runState(), problem.StepResume, "equal requests were lost with their servers, and another one runs")
}

// hasSendsLeft reports whether the route's limits allow another send.
func (s *streamCall) hasSendsLeft() bool {
	if s.possibleRuns > 0 && !s.route.Idempotent() {
		return false
	}
	return s.possibleRuns < max(1, s.route.MaxAttempts) && s.totalSends < maxStreamSends
}

// takeRetry reports whether the retry budget allows another send, and charges it unless that is
// reserved already.
func (s *streamCall) takeRetry(now time.Time) bool {
	return s.moveReserved || s.retryBudgets.take(now, s.service, s.gossip != nil)
}

// reserveMove implements watchedRun.reserveMove for the run in progress.
func (s *streamCall) reserveMove(now time.Time) bool {
	decision := s.crashes.check(now, s.content)
	if !s.hasSendsLeft() || decision.Action != quarantine.Run {
		return false
	}
	if decision.Suspect && s.trial == nil {
		// Another run of an equal request may be the trial, and this one is sound perhaps.
		return false
	}
	if !s.partGuard.allows(now, s.call) {
		return false
	}
	// The next server may refuse the stream, which then needs another send: its present run has ended by then.
	s.moveReserved = s.moveReserved || s.retryBudgets.takeSpare(now, s.service, s.gossip != nil)
	return s.moveReserved
}

// resumeAtBackup returns the server that holds the copy of the last run's KV cache as
// target, unless there is no copy or the server is down.
func (s *streamCall) resumeAtBackup(now time.Time) (target, bool) {
	if s.backup == nil {
		return target{}, false
	}
	id, source := s.backup.ID, s.backupSource
	s.dropBackup()
	work := s.work
	work.HasBackup = true
	place := s.assign(s.ctx, id, &query{service: s.service, work: work})
	if place == nil {
		return target{}, false
	}
	t := s.countSend(place, true)
	t.copySource = source
	return t, true
}

// inTime reports whether the answer can be complete before its deadline.
func (s *streamCall) inTime(now time.Time, place *placement) bool {
	return s.deadline.IsZero() || admission.CanMeetDeadline(s.deadline.Sub(now), place.expectedTotal)
}

func (s *streamCall) choose(now time.Time) (*placement, error) {
	q := &query{service: s.service, work: s.work, resume: s.headSent, avoid: s.tried}
	if now.Sub(s.lostDomainAt) < domainAvoidPeriod {
		q.avoidDomain = s.lostDomain
	}
	if s.possibleRuns == 0 {
		return s.chooseInTurn(s.ctx, q, s.startBy(now))
	}
	place, err := s.chooseInTurn(s.ctx, q, now.Add(maxResumeWait))
	var tooLong *waitqueue.TooLongError
	if errors.As(err, &tooLong) {
		q.mayOvercommit = true
		return s.Gateway.choose(s.ctx, q)
	}
	return place, err
}

func (s *streamCall) dropBackup() {
	if s.backup != nil {
		s.fleet.releaseBackup(s.backup.ID, s.work)
		s.backup, s.backupSource = nil, copySource{}
	}
}

// fail ends the stream without success. It sends an error answer if none has begun.
// Otherwise it breaks the connection, so that the answer does not look complete.
func (s *streamCall) fail(refusal *problem.Error) {
	if s.headSent {
		s.outcome, s.status = "interrupted", http.StatusOK
		s.options.Log.Info().Str("request", string(s.caller.ID)).Uint64("last_event", s.lastEvent).Str("reason", refusal.Error()).Msg("stream_broken_off")
		panic(http.ErrAbortHandler)
	}
	if s.failure != nil && refusal.Run != problem.RunNot {
		s.deliver(s.failure)
		return
	}
	s.refuse(refusal)
}

// probeAfterFailure probes a server at which a run was lost.
func (g *Gateway) probeAfterFailure(entry directory.Entry) {
	if g.fleet.alive(entry.ID) {
		g.probe(entry)
	}
}
