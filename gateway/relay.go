package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// newAttempt returns what the system adds to the request of the next run. It reserves a
// backup for the run if the service uses backups and the route is idempotent.
func (s *streamCall) newAttempt(now time.Time, t target) *Attempt {
	a := &Attempt{LastEvent: s.lastEvent, Ranks: s.table.Ranks(s.service), Rank: s.work.Rank, Resume: s.lostAt != (time.Time{})}
	if t.hasCopy {
		a.ContinueAddress, a.ContinueHandle = t.place.Address, string(s.caller.ID)
		if t.copySource.handle != "" {
			a.ContinueAddress, a.ContinueHandle = t.copySource.address, t.copySource.handle
		}
	}
	service := s.table.Service(s.service)
	if service != nil && service.Engine != nil && service.Engine.Backups && s.route.Idempotent() {
		s.dropBackup()
		if s.backup = s.fleet.backup(now, t.place, s.work, false); s.backup != nil {
			a.BackupAddress = s.backup.Address
		}
	}
	return a
}

// run runs the stream at one server until it ends there.
func (s *streamCall) run(t target) (end runEnd, err error) {
	now := time.Now()
	ctx, cancel := context.WithCancelCause(s.ctx)
	copies := &copyKeeper{call: s, ctx: ctx, from: t.place}
	defer func() {
		cancel(nil)
		copies.end(end)
	}()
	startBy := now.Add(max(firstEventTimeoutMin, firstEventWaitFactor*t.place.expectedWait))
	queued := s.totalSends == 1 && s.caller.LastEvent == 0
	s.watch = s.fleet.watch(now, &watchedRun{server: t.place.Entry, cancel: cancel, reserveMove: s.reserveMove}, startBy, queued)
	defer s.fleet.unwatch(s.watch)
	s.timed = s.timeRun(t.place, rollout.MetricFirstToken)
	if !s.route.Idempotent() {
		s.moves.beginUnrepeatable(t.place, s.route.Kind)
		defer s.moves.endUnrepeatable(t.place)
	}
	s.runBegun = false
	s.gossip.enqueue(startedMessage(t.place.ID, s.work, t.hasCopy, s.totalSends > 1))
	request := s.newRequest(now, t.place, s.newAttempt(now, t))
	if s.backup != nil && s.table.Service(s.service).Engine.Moves {
		s.fleet.watchCopy(s.watch, s.backup.ID, copies.copyLost)
	}
	// A server that has refused the stream may repeat that refusal on the connection.
	request.FreshConnection = !s.route.Idempotent() || slices.Contains(s.tried, t.place.ID)
	t.place.bootSentAt = bootClock()
	response, err := s.pool.Do(ctx, t.place.upstream(), request)
	if err != nil {
		s.fleet.failed(time.Now(), t.place, s.work)
		return s.exchangeFailed(ctx, t, err)
	}
	defer func() { _ = response.Body.Close() }()
	end, err = s.relay(ctx, t, response)
	if end == runComplete {
		done := time.Now()
		s.fleet.finished(done, t.place, s.work, routing.Result{Duration: done.Sub(now), Tokens: uint32(s.delivered * s.eventTokens())})
	} else {
		s.fleet.failed(time.Now(), t.place, s.work)
	}
	return end, err
}

// exchangeFailed classifies a failed exchange and updates the view of the server.
func (s *streamCall) exchangeFailed(ctx context.Context, t target, err error) (runEnd, error) {
	if errors.Is(err, upstream.ErrAbandoned) {
		return s.notSent(ctx, err)
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if s.r.Context().Err() != nil {
		if since, ok := s.fleet.silentSince(s.watch); ok {
			// The server may have crashed silently, which may be why the caller left.
			s.crashes.runLost(since, s.content, t.place, lostRun{silent: true, begun: s.runBegun, trial: s.trial != nil})
			s.suspectParts(since, t.place, true)
		}
		return runCallerGone, err
	}
	s.lostDomain, s.lostDomainAt = t.place.Domain, time.Now()
	if infra.OutcomeOf(err) == infra.OutcomeNotDone {
		s.fleet.markLost(time.Now(), t.place.ID, "connect")
		return runNotRun, err
	}
	if isOversized(err) {
		return s.oversized(t, err)
	}
	silent := isSilence(err)
	s.crashes.runLost(time.Now(), s.content, t.place, lostRun{silent: silent, begun: s.runBegun, trial: s.trial != nil})
	s.suspectParts(time.Now(), t.place, silent)
	if ctx.Err() == nil || silent || errors.Is(err, errServerReplaced) {
		// The server was lost, so the run says nothing about its version.
		s.moves.drop(s.timed)
	}
	if ctx.Err() == nil {
		go s.probeAfterFailure(t.place.Entry)
	}
	return runLost, err
}

// notSent classifies a send that was given up before it was written. It says nothing about the server.
func (s *streamCall) notSent(ctx context.Context, err error) (runEnd, error) {
	s.moves.drop(s.timed)
	if !s.callerWaits() {
		return runCallerGone, err
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return runNotRun, err
}

// suspectParts reports a run that was lost before its first event to the guard of the parts.
func (s *streamCall) suspectParts(lostAt time.Time, p *placement, silent bool) {
	if !s.runBegun {
		s.partGuard.runLost(lostAt, s.call, p, silent)
	}
}

// relay handles the answer of one run and forwards its events to the caller.
func (s *streamCall) relay(ctx context.Context, t target, response *upstream.Response) (runEnd, error) {
	reply := s.options.Codec.ParseReply(response.Status, response.Header)
	if err := s.checkOwner(&reply, response); err != nil {
		s.fleet.recordUnproved(time.Now(), t.place, &reply)
		s.fleet.recordResult(time.Now(), t.place, true)
		return runLost, err
	}
	s.fleet.recordAnswer(time.Now(), response.SentAt, t.place, &reply)
	s.limits.observe(t.place, &reply)
	s.observeLeaving(t.place, &reply)
	s.pauses.observe(t.place, response, &reply)
	if reply.NotRun {
		if response.Status == http.StatusMisdirectedRequest {
			s.fleet.misdirected(time.Now(), t.place.ID)
		} else {
			s.fleet.refused(time.Now(), t.place.ID)
		}
		return runNotRun, errors.Newf("refused with status %d: %s", response.Status, refusalText(response.Body))
	}
	if response.Status != http.StatusOK || !isEventStream(response.Header) {
		return s.relayAnswer(ctx, t, response)
	}
	return s.relayEvents(ctx, t, response)
}

// maxRefusalText bounds the part of a refusal's body that is logged, in bytes.
const maxRefusalText = 200

// refusalText returns the beginning of a refusal's body for the log.
func refusalText(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalText))
	if err != nil {
		return "unreadable: " + err.Error()
	}
	return string(text)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether an answer is a stream of events by its media type.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// relayAnswer handles an answer that is not a stream of events. It is the answer to the caller only if it is no success,
// which only events are, and if no event has been sent before by this gateway.
func (s *streamCall) relayAnswer(ctx context.Context, t target, response *upstream.Response) (runEnd, error) {
	result := &sendResult{outcome: sendUnknown, place: t.place}
	s.readAnswer(response, result)
	if isOversized(result.err) {
		return s.oversized(t, result.err)
	}
	if result.outcome != sendAnswered {
		return s.exchangeFailed(ctx, t, result.err)
	}
	success := result.status < http.StatusMultipleChoices
	failed := success || result.status >= http.StatusInternalServerError
	s.moves.answered(t.place, s.route.Name, failed)
	s.moves.drop(s.timed)
	s.fleet.recordResult(time.Now(), t.place, failed)
	if failed || s.headSent {
		if !success {
			s.failure = result
		}
		return runFailed, errors.Newf("status %d", result.status)
	}
	s.deliver(result)
	return runComplete, nil
}

// errEmptyStream means that a stream without length and chunks ended before its first event. A server
// that ends then closes its connections like one that has sent everything.
var errEmptyStream = errors.New("the stream ended before its first event")

func (s *streamCall) relayEvents(ctx context.Context, t target, response *upstream.Response) (runEnd, error) {
	events := newEventReader(response.Body, s.held.Begin(memquota.StreamPart, string(t.place.ID)))
	sampler := speedSampler{since: response.SentAt}
	for {
		event, err := events.next()
		if err == io.EOF && response.Unframed && s.lastEvent == 0 && sampler.total == 0 {
			err = errEmptyStream
		}
		if err == io.EOF {
			s.writeHead(response)
			s.fleet.recordResult(time.Now(), t.place, false)
			if sampler.total >= speedSampleEvents {
				s.moves.measured(s.timed, rollout.MetricTokenGap, sampler.meanGap(time.Now(), s.eventTokens()))
			}
			return runComplete, nil
		}
		if isOversized(err) {
			return s.oversized(t, err)
		}
		if errors.Is(err, errNoField) {
			s.fleet.recordResult(time.Now(), t.place, true)
			return runLost, err
		}
		if err != nil {
			return s.exchangeFailed(ctx, t, err)
		}
		if event.Comment {
			// It says nothing of the generation, which may have stalled.
			if err := s.writeComment(event); err != nil {
				return runCallerGone, err
			}
			continue
		}
		now := time.Now()
		s.fleet.recordEvent(now, s.watch)
		s.sampleSpeed(now, t, &sampler)
		if event.ID != 0 && event.ID <= s.lastEvent {
			continue
		}
		if event.ID == 0 {
			s.fleet.recordResult(now, t.place, true)
			return runLost, errors.Newf("an event without id came after event %d", s.lastEvent)
		}
		if event.ID > s.lastEvent+1 {
			s.fleet.recordResult(now, t.place, true)
			return runLost, errors.Newf("event %d came after event %d", event.ID, s.lastEvent)
		}
		if err := s.writeEvent(response, event); err != nil {
			return runCallerGone, err
		}
	}
}

// oversized ends a run whose answer is larger than it may be.
func (s *streamCall) oversized(t target, err error) (runEnd, error) {
	s.moves.drop(s.timed)
	if !isCrowdedOut(err) {
		s.fleet.recordResult(time.Now(), t.place, true)
	}
	return runLost, err
}

// speedSampler tracks the events of one run between two speed samples. since is when the
// sample began. reported is set once the peers have the server's speed.
type speedSampler struct {
	since    time.Time
	events   int
	reported bool
	// firstAt is when the first event of the run came, and total counts its events.
	firstAt time.Time
	total   int
}

// meanGap returns the mean time between two tokens of the run, of at least two events.
func (p *speedSampler) meanGap(now time.Time, eventTokens int) time.Duration {
	return now.Sub(p.firstAt) / time.Duration((p.total-1)*eventTokens)
}

// sampleSpeed counts an event, and updates the measured speed of a server after the
// first event and then after each complete sample.
func (s *streamCall) sampleSpeed(now time.Time, t target, p *speedSampler) {
	p.events++
	p.total++
	if p.total == 1 {
		p.firstAt = now
		s.runBegun = true
		s.crashes.begun(now, s.content)
		s.partGuard.begun(now, s.parts)
		// The wait is no speed sample if the server may have cached part of the prompt.
		s.moves.begun(s.timed)
		s.moves.answered(t.place, s.route.Name, false)
		if !t.hasCopy && s.totalSends == 1 && s.caller.LastEvent == 0 {
			s.moves.measured(s.timed, rollout.MetricFirstToken, now.Sub(p.since))
			s.fleet.firstToken(now, t.place, routing.FirstToken{Wait: now.Sub(p.since), PromptTokens: s.work.PromptTokens})
		}
		p.since = now
		return
	}
	if p.events%speedSampleEvents == 0 {
		tokens := (speedSampleEvents - 1) * s.eventTokens()
		s.fleet.progress(now, t.place, tokens, now.Sub(p.since)/time.Duration(tokens))
		s.moves.paced(s.timed, p.meanGap(now, s.eventTokens()))
		p.since, p.events = now, 1
		s.announceSpeed(t.place.ID, p)
	}
}

// announceSpeed sends the server's measured speed to the peers, once per run.
func (s *streamCall) announceSpeed(id serverID, p *speedSampler) {
	if p.reported {
		return
	}
	if m, ok := s.fleet.speedMessage(id); ok {
		s.gossip.enqueue(m)
		p.reported = true
	}
}

// writeHead sends the head of the answer, taken from the first run that sends an
// event or completes.
func (s *streamCall) writeHead(response *upstream.Response) {
	if s.headSent {
		return
	}
	s.status = response.Status
	header := s.w.Header()
	s.options.Codec.CopyAnswerHeaders(header, response.Header)
	header.Del("Content-Length")
	s.beginHead()
	s.w.WriteHeader(response.Status)
	telemetry.Histogram(s.options.Metrics, "stream_first_ms").Update(time.Since(s.began).Milliseconds())
}

// writeComment sends a comment to the caller, once the head of the answer has been sent. Before, the server may still be
// replaced by one whose head differs.
func (s *streamCall) writeComment(comment streamEvent) error {
	if !s.headSent {
		return nil
	}
	return s.send(comment.Raw)
}

// send sends bytes of the stream to the caller.
func (s *streamCall) send(raw []byte) error {
	if _, err := s.out.Write(raw); err != nil {
		return err
	}
	return s.out.Flush()
}

// writeEvent sends one event to the caller.
func (s *streamCall) writeEvent(response *upstream.Response, event streamEvent) error {
	s.writeHead(response)
	if err := s.send(event.Raw); err != nil {
		return err
	}
	s.delivered++
	s.recordGap(time.Now())
	if event.ID != 0 {
		s.lastEvent = event.ID
	}
	if !s.lostAt.IsZero() {
		pause := time.Since(s.lostAt)
		s.lostAt = time.Time{}
		telemetry.Histogram(s.options.Metrics, "stream_resume_ms").Update(pause.Milliseconds())
		s.options.Log.Info().Str("request", string(s.caller.ID)).Str("server", string(s.server)).Uint64("first_event", event.ID).
			Int64("after_ms", pause.Milliseconds()).Msg("stream_resumed")
	}
	return nil
}

// recordGap records the time to the first event and the longest gap, for the log.
func (s *streamCall) recordGap(now time.Time) {
	if s.lastWrite.IsZero() {
		s.firstEvent = now.Sub(s.began)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
}
