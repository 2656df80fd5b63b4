package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

const (
	// maxAnswerBytes bounds the answer of a plain service, which is buffered in
	// memory until it is complete.
	maxAnswerBytes = 8 << 20
	// hedgeDivisor determines when an idempotent request without an answer is also
	// sent to a second server: after the latency objective divided by hedgeDivisor.
	hedgeDivisor = 2
	// maxSends bounds all sends of one request, including those that did not run.
	maxSends = 6
)

// errUnproved means that nothing shows that an answer is the server's own to this request.
var errUnproved = errors.New("unproved answer")

// sendOutcome classifies the end of one send of a request.
type sendOutcome uint8

const (
	// sendAnswered: the server ran the request and answered completely.
	sendAnswered sendOutcome = iota
	// sendNotRun: the server did not run the request.
	sendNotRun
	// sendUnknown: the request may have run.
	sendUnknown
)

// sendResult is the result of one send.
type sendResult struct {
	outcome sendOutcome
	place   *placement
	status  int
	header  http.Header
	body    *memquota.Buffer
	load    *Load
	err     error
	// panicked is set if the send panicked.
	panicked *sendPanic
}

// succeeded reports whether the answer is complete and not a server error.
func (s *sendResult) succeeded() bool {
	return s.outcome == sendAnswered && s.status < http.StatusInternalServerError
}

// plain serves a request whose answer is buffered until it is complete.
func (c *call) plain() {
	ctx := c.r.Context()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
	}
	p := &plainCall{call: c, results: make(chan *sendResult, maxSends)}
	// Cancelling ctx abandons the sends that are still in progress.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.serve(ctx)
}

// plainCall is the state of a call of a plain service.
type plainCall struct {
	*call
	results chan *sendResult
	// pending holds the sends without a result.
	pending    []*placement
	totalSends int
	tried      []serverID
	// last is the last complete answer that is not a success.
	last *sendResult
	// mayHaveRun is set if a send may have run without an answer.
	mayHaveRun bool
}

func (p *plainCall) serve(ctx context.Context) {
	switch err := p.send(ctx); {
	case errors.Is(err, errLeaving):
		p.refuse(p.draining())
		return
	case err != nil:
		p.refuse(p.noServer(err))
		return
	}
	hedge := p.hedgeTimer()
	defer hedge.Stop()
	for len(p.pending) > 0 {
		select {
		case result := <-p.results:
			p.pending = slices.DeleteFunc(p.pending, func(other *placement) bool { return other == result.place })
			if p.handleResult(ctx, result) {
				return
			}
		case <-hedge.C:
			if p.mayHedge(time.Now()) {
				p.sendAgain(ctx, "hedge", p.hedgeExcluded())
			}
		case <-p.ending.Done():
			p.stopped()
			return
		case <-ctx.Done():
			p.timedOut()
			return
		}
	}
	p.exhausted()
}

// hedgeTimer returns a timer that fires when the request is to be hedged. It never
// fires if the route has no hedging.
func (p *plainCall) hedgeTimer() *time.Timer {
	if !p.route.Idempotent() || p.route.LatencyObjective <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(p.route.LatencyObjective / hedgeDivisor)
}

// handleResult handles the end of a send and returns whether the request is answered.
func (p *plainCall) handleResult(ctx context.Context, result *sendResult) bool {
	if result.panicked != nil {
		panic(*result.panicked)
	}
	if errors.Is(result.err, upstream.ErrAbandoned) {
		p.possibleRuns--
		p.abandoned(ctx)
		return true
	}
	p.reportOutcome(result)
	p.endTrial()
	if result.succeeded() {
		p.deliver(result)
		return true
	}
	switch result.outcome {
	case sendAnswered:
		p.last = result
	case sendUnknown:
		p.mayHaveRun = true
	case sendNotRun:
		p.possibleRuns--
	}
	if len(p.pending) == 0 && p.maySendAgain(ctx) {
		p.sendAgain(ctx, "again", p.tried)
	}
	return false
}

// hasSendsLeft reports whether the route's limits allow another send. A request that may have run is
// repeated only if the route is idempotent.
func (p *plainCall) hasSendsLeft() bool {
	if p.totalSends >= maxSends || p.possibleRuns >= max(1, p.route.MaxAttempts) {
		return false
	}
	return p.possibleRuns == 0 || p.route.Idempotent()
}

// maySendAgain decides whether the request is sent again, and charges the retry budget if so. If equal
// requests were lost with their servers, it waits until the request may run as a trial.
func (p *plainCall) maySendAgain(ctx context.Context) bool {
	if !p.hasSendsLeft() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.trialWait())
	defer cancel()
	return p.acquireTrial(ctx).action == quarantine.Run && p.mayRepeat(time.Now())
}

// mayHedge decides whether the request is also sent to a second server, and charges the retry budget if so.
// Copies that run at the same time would each end their server, so a suspect is not hedged.
func (p *plainCall) mayHedge(now time.Time) bool {
	decision := p.crashes.check(now, p.content)
	if !p.hasSendsLeft() || decision.Action != quarantine.Run || decision.Suspect {
		return false
	}
	return p.mayRepeat(now)
}

// hedgeExcluded returns the servers to which the request is not hedged: those that have received it, and those that
// name a limit, which are in need.
func (p *plainCall) hedgeExcluded() []serverID {
	return append(slices.Clone(p.tried), p.limits.limitedServers(p.service)...)
}

// mayRepeat reports whether the parts of the request and the retry budget allow another send, and charges
// the budget if so.
func (p *plainCall) mayRepeat(now time.Time) bool {
	if p.partGuard.check(now, p.call, problem.RunUnknown, problem.StepDispatch) != nil {
		return false
	}
	return p.retryBudgets.take(now, p.service, false)
}

func (p *plainCall) sendAgain(ctx context.Context, why string, exclude []serverID) {
	err := p.sendExcluding(ctx, exclude)
	p.options.Log.Info().Str("request", string(p.caller.ID)).Str("why", why).Int("sends", p.possibleRuns).Int("total", p.totalSends).
		Err(err).Msg("request_sent_again")
}

// send sends the request to the best server that has not received it yet.
func (p *plainCall) send(ctx context.Context) error { return p.sendExcluding(ctx, p.tried) }

// sendExcluding sends the request to the best server that is not excluded.
func (p *plainCall) sendExcluding(ctx context.Context, exclude []serverID) error {
	place, err := p.Gateway.choose(ctx, &query{service: p.service, work: p.work, exclude: exclude, mayOvercommit: true})
	if err != nil {
		return err
	}
	if p.totalSends == 0 && p.stopsBefore(place.expectedTotal) {
		p.fleet.failed(time.Now(), place, p.work)
		return errLeaving
	}
	p.tried = append(p.tried, place.ID)
	p.possibleRuns++
	p.totalSends++
	p.pending = append(p.pending, place)
	p.server = place.ID
	p.logSent(place, p.totalSends, false)
	go func() { p.results <- p.exchangeRecovered(ctx, place) }()
	return nil
}

// exchange sends the request to one server and reads the complete answer.
func (c *call) exchange(ctx context.Context, place *placement) *sendResult {
	now := time.Now()
	result := &sendResult{outcome: sendUnknown, place: place}
	timed := c.timeRun(place, rollout.MetricDuration)
	if !c.route.Idempotent() {
		c.moves.beginUnrepeatable(place, c.route.Kind)
		defer c.moves.endUnrepeatable(place)
	}
	request := c.newRequest(now, place, &Attempt{})
	request.FreshConnection = !c.route.Idempotent()
	place.bootSentAt = bootClock()
	response, err := c.pool.Do(ctx, place.upstream(), request)
	if err != nil {
		result.err = err
		if infra.OutcomeOf(err) == infra.OutcomeNotDone {
			result.outcome = sendNotRun
		}
		c.fleet.failed(time.Now(), place, c.work)
		if ctx.Err() == nil {
			c.moves.drop(timed)
		}
		return result
	}
	defer func() { _ = response.Body.Close() }()
	c.readAnswer(response, result)
	end := time.Now()
	c.recordTime(timed, result, end.Sub(now))
	if result.succeeded() {
		c.fleet.finished(end, place, c.work, routing.Result{Duration: end.Sub(now)})
	} else {
		c.fleet.failed(end, place, c.work)
	}
	return result
}

// recordTime records how long a send took, if it was answered well.
func (c *call) recordTime(timed *timedRun, result *sendResult, took time.Duration) {
	if !result.succeeded() {
		c.moves.drop(timed)
		return
	}
	c.moves.begun(timed)
	c.moves.measured(timed, rollout.MetricDuration, took)
}

// readAnswer reads a complete answer into result, if it belongs to the request.
func (c *call) readAnswer(response *upstream.Response, result *sendResult) {
	reply := c.options.Codec.ParseReply(response.Status, response.Header)
	if result.err = c.checkOwner(&reply, response); result.err != nil {
		c.fleet.recordUnproved(time.Now(), result.place, &reply)
		return
	}
	c.fleet.recordAnswer(time.Now(), response.SentAt, result.place, &reply)
	c.limits.observe(result.place, &reply)
	c.observeLeaving(result.place, &reply)
	c.pauses.observe(result.place, response, &reply)
	result.load = reply.Load
	if reply.NotRun {
		result.outcome = sendNotRun
		result.status = response.Status
		return
	}
	hold := c.held.Begin(memquota.ServerAnswer, string(result.place.ID))
	body, err := c.gatherAnswer(response, hold)
	if err != nil {
		hold.End()
		result.err = errors.Wrap(err, "read the answer")
		return
	}
	result.outcome = sendAnswered
	result.status, result.header, result.body = response.Status, response.Header, body
}

// checkOwner returns errUnproved unless an answer is proved to be a server's own to this request: it repeats the request's
// id and is signed. A server that refuses a request may leave out both, but without the id the refusal may be that of an
// earlier request, unless the connection has carried no other.
func (c *call) checkOwner(reply *Reply, response *upstream.Response) error {
	switch {
	case reply.Request != "" && reply.Request != c.caller.ID:
		return errors.Wrapf(errUnproved, "answer to another request, %q", string(reply.Request))
	case reply.Request == "" && (response.Reused || !reply.NotRun):
		return errors.Wrapf(errUnproved, "status %d without the request's id", response.Status)
	case !reply.Signed && !reply.NotRun:
		return errors.Wrapf(errUnproved, "status %d without one signature", response.Status)
	case reply.Encoded && !reply.NotRun:
		return errors.Wrapf(errUnproved, "status %d with an encoded body", response.Status)
	}
	return nil
}

// newRequest returns the request to send to a backend server.
func (c *call) newRequest(now time.Time, place *placement, attempt *Attempt) *upstream.Request {
	attempt.Server = place.ID
	attempt.Workspace = c.workspace
	attempt.Remaining = c.remaining(now)
	return &upstream.Request{
		Method:  c.r.Method,
		Target:  c.r.RequestURI,
		Host:    c.r.Host,
		Header:  c.options.Codec.AttemptHeaders(c.r.Header, attempt),
		Body:    c.body,
		HasBody: c.hasBody,
		MaxIdle: c.maxIdle(place.Service),
		Wanted:  c.callerWaits,

		GrowHead: c.held.Begin(memquota.StreamPart, string(place.ID)).Grow,
	}
}

// reportOutcome updates the view of the server with the outcome of a send.
func (p *plainCall) reportOutcome(result *sendResult) {
	now := time.Now()
	if result.outcome == sendNotRun && result.status == 0 {
		p.fleet.markLost(now, result.place.ID, "connect")
		return
	}
	if result.status == http.StatusMisdirectedRequest {
		p.fleet.misdirected(now, result.place.ID)
		return
	}
	if !isCrowdedOut(result.err) {
		p.fleet.recordResult(now, result.place, !result.succeeded())
	}
	if result.outcome == sendUnknown && !errors.Is(result.err, errUnproved) && !isOversized(result.err) {
		// A server that has answered, if only with other bytes, was not crashed by the request.
		p.crashes.runLost(now, p.content, result.place, lostRun{trial: p.trial != nil})
		p.partGuard.runLost(now, p.call, result.place, false)
		go p.probeAfterFailure(result.place.Entry)
	}
	if result.outcome == sendAnswered {
		p.moves.answered(result.place, p.route.Name, !result.succeeded())
	}
	if result.succeeded() {
		p.crashes.completed(now, p.content)
		p.partGuard.begun(now, p.parts)
	}
	if result.err != nil {
		p.options.Log.Info().Str("request", string(p.caller.ID)).Str("server", string(result.place.ID)).
			Err(result.err).Msg("send_failed")
	}
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver writes an answer to the caller. The status of a request that has run and may not run again must not promise
// that it has not run, since its caller would send it again.
func (c *call) deliver(result *sendResult) {
	if promisesNotRun(result.status) && !c.route.Idempotent() {
		c.refuse(problem.New(problem.CodeBackendFailed, problem.RunUnknown, problem.StepDispatch,
			"the backend server ran the request and answered with status %d", result.status).At(string(result.place.ID)))
		return
	}
	c.server, c.status, c.outcome = result.place.ID, result.status, "answered"
	if result.status >= http.StatusInternalServerError {
		c.outcome = "backend_error"
	}
	header := c.w.Header()
	c.options.Codec.CopyAnswerHeaders(header, result.header)
	if c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(result.body.Len(), 10))
	}
	c.beginHead()
	c.w.WriteHeader(result.status)
	// An error means that the caller has disconnected or is too slow.
	_, _ = result.body.WriteTo(httpserver.NewStreamWriter(c.w, callerWriteTimeout))
}

// exhausted answers a request that has no success and is not sent again.
func (p *plainCall) exhausted() {
	switch {
	case p.last != nil:
		p.deliver(p.last)
	case p.mayHaveRun:
		p.refuse(problem.New(problem.CodeBackendFailed, problem.RunUnknown, problem.StepDispatch, "the backend server was lost").At(string(p.server)))
	default:
		p.refuse(problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepDispatch, "no backend server takes the request").After(p.jitter(noServerRetry)))
	}
}

// timedOut ends a request whose deadline has passed or whose caller has disconnected.
func (p *plainCall) timedOut() {
	// A server that has crashed silently may be why there is no answer.
	for _, place := range p.pending {
		p.crashes.runLost(time.Now(), p.content, place, lostRun{silent: true, trial: p.trial != nil})
		p.partGuard.runLost(time.Now(), p.call, place, true)
	}
	if p.r.Context().Err() != nil {
		p.callerGone()
		return
	}
	if p.possibleRuns == 0 {
		p.refuse(problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepDispatch, "no backend server took the request in time"))
		return
	}
	p.refuse(problem.New(problem.CodeTooLate, problem.RunUnknown, problem.StepDispatch, "no answer in time").At(string(p.server)))
}

// abandoned ends a request that was not sent since its deadline had passed or its caller had left.
func (p *plainCall) abandoned(ctx context.Context) {
	if ctx.Err() == nil && !p.callerWaits() {
		p.callerGone()
	}
	p.timedOut()
}

// stopped ends a request that outlasts this gateway. Its connection is cut if the gateway ends at once.
func (p *plainCall) stopped() {
	if p.background.Err() != nil {
		p.callerGone()
	}
	run := problem.RunUnknown
	if p.possibleRuns == 0 {
		run = problem.RunNot
	}
	p.refuse(problem.New(problem.CodeInterrupted, run, problem.StepDispatch, "entry stops before the answer is complete").At(string(p.server)))
}

// callerGone ends a request whose connection has ended, since the caller has disconnected or this
// gateway has stopped. It does not return.
func (c *call) callerGone() {
	if c.background.Err() != nil {
		c.outcome = "stopped"
		panic(http.ErrAbortHandler)
	}
	c.outcome = "caller_gone"
	telemetry.Counter(c.options.Metrics, "callers.gone").Inc(1)
	panic(http.ErrAbortHandler)
}
