package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// attempt describes the next run to its server.
func (s *streamRun) attempt(now time.Time, t target) *Attempt {
	a := &Attempt{LastEvent: s.last, Urgent: s.lostAt != (time.Time{})}
	if t.copied {
		a.ContinueAddress, a.ContinueRun = t.place.Address, s.caller.ID
	}
	service := s.table.Service(s.service)
	if service != nil && service.Engine != nil && service.Engine.Backups && s.route.Idempotent() {
		s.dropBackup()
		if s.backup = s.fleet.backup(now, t.place, s.work); s.backup != nil {
			a.BackupAddress = s.backup.Address
		}
	}
	return a
}

// run runs the stream at one server until it ends there.
func (s *streamRun) run(t target) (runEnd, error) {
	now := time.Now()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	startBy := now.Add(max(firstEventLeast, firstEventFactor*t.place.expectedWait))
	queued := s.sendsMade == 1 && s.caller.LastEvent == 0
	watch := s.fleet.watch(now, t.place, startBy, queued, cancel)
	defer s.fleet.unwatch(watch)
	s.gossip.tell(startedMessage(t.place.ID, s.work, t.copied, s.sendsMade > 1))
	request := s.request(now, t.place, s.attempt(now, t))
	request.FreshConnection = !s.route.Idempotent()
	response, err := s.pool.Do(ctx, t.place.upstream(), request)
	if err != nil {
		s.fleet.failed(time.Now(), t.place, s.work)
		return s.exchangeFailed(ctx, t, err)
	}
	defer func() { _ = response.Body.Close() }()
	end, err := s.relay(ctx, t, response, watch)
	if end == runComplete {
		done := time.Now()
		s.fleet.finished(done, t.place, s.work, routing.Result{Duration: done.Sub(now), Tokens: uint32(s.delivered * s.eventTokens())})
	} else {
		s.fleet.failed(time.Now(), t.place, s.work)
	}
	return end, err
}

// exchangeFailed tells what a failed exchange says of the run and of the server.
func (s *streamRun) exchangeFailed(ctx context.Context, t target, err error) (runEnd, error) {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if s.r.Context().Err() != nil {
		return runCallerGone, err
	}
	s.domain, s.domainAt = t.place.Domain, time.Now()
	if infra.OutcomeOf(err) == infra.OutcomeNotDone {
		s.fleet.markLost(time.Now(), t.place.ID, "connect")
		return runNotRun, err
	}
	if ctx.Err() == nil {
		go s.suspect(t.place.Entry, s.print)
	}
	return runLost, err
}

// relay passes the events of one run on to the caller.
func (s *streamRun) relay(ctx context.Context, t target, response *upstream.Response, watch health.StreamID) (runEnd, error) {
	reply := s.options.Codec.Reply(response.Status, response.Header)
	if reply.Request != "" && reply.Request != s.caller.ID {
		return runLost, errors.Newf("answer to another request, %q", string(reply.Request))
	}
	s.fleet.recordAnswer(time.Now(), response.SentAt, t.place, reply.Load)
	if reply.NotRun {
		if response.Status == http.StatusMisdirectedRequest {
			s.fleet.markReplaced(time.Now(), t.place.ID)
		}
		return runNotRun, errors.Newf("refused with status %d: %s", response.Status, refusalText(response.Body))
	}
	if response.Status != http.StatusOK {
		return s.otherAnswer(ctx, t, response)
	}
	return s.relayEvents(ctx, t, response, watch)
}

// maxRefusalText bounds what is logged of a refusal, in bytes.
const maxRefusalText = 200

// refusalText returns the beginning of a refusal's body for the log.
func refusalText(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalText))
	if err != nil {
		return "unreadable: " + err.Error()
	}
	return string(text)
}

// otherAnswer handles an answer that is no stream.
func (s *streamRun) otherAnswer(ctx context.Context, t target, response *upstream.Response) (runEnd, error) {
	result := &sendResult{verdict: sendUnknown, place: t.place}
	s.readAnswer(response, result)
	if result.verdict != sendAnswered {
		return s.exchangeFailed(ctx, t, result.err)
	}
	failed := result.status >= http.StatusInternalServerError
	s.fleet.recordResult(time.Now(), t.place, failed)
	if failed || s.begun {
		s.failure = result
		return runFailed, errors.Newf("status %d", result.status)
	}
	s.deliver(result)
	return runComplete, nil
}

func (s *streamRun) relayEvents(ctx context.Context, t target, response *upstream.Response, watch health.StreamID) (runEnd, error) {
	events := newEventReader(response.Body)
	pace := pace{from: response.SentAt}
	for {
		event, err := events.next()
		if err == io.EOF {
			s.begin(response)
			s.fleet.recordResult(time.Now(), t.place, false)
			return runComplete, nil
		}
		if err != nil {
			return s.exchangeFailed(ctx, t, err)
		}
		now := time.Now()
		s.fleet.recordEvent(now, watch)
		s.learn(now, t, &pace)
		if event.ID != 0 && event.ID <= s.last {
			continue
		}
		if event.ID > s.last+1 {
			s.fleet.recordResult(now, t.place, true)
			return runLost, errors.Newf("event %d came after event %d", event.ID, s.last)
		}
		if err := s.pass(response, event); err != nil {
			return runCallerGone, err
		}
	}
}

// pace follows the events of one run.
type pace struct {
	from   time.Time
	events int
	told   bool
}

// learn tells the fleet how fast a server reads a prompt and makes events.
func (s *streamRun) learn(now time.Time, t target, p *pace) {
	p.events++
	if p.events == 1 {
		// A prompt of which a server keeps a part says nothing of its pace.
		if !t.copied && s.sendsMade == 1 && s.caller.LastEvent == 0 {
			s.fleet.firstToken(now, t.place, routing.FirstToken{Wait: now.Sub(p.from), PromptTokens: s.work.PromptTokens})
		}
		p.from = now
		return
	}
	if p.events%progressEvents == 0 {
		tokens := (progressEvents - 1) * s.eventTokens()
		s.fleet.progress(now, t.place, tokens, now.Sub(p.from)/time.Duration(tokens))
		p.from, p.events = now, 1
		s.tellPace(t.place.ID, p)
	}
}

// tellPace tells the peers once a run how fast its server is.
func (s *streamRun) tellPace(id serverID, p *pace) {
	if p.told {
		return
	}
	if m, ok := s.fleet.paceMessage(id); ok {
		s.gossip.tell(m)
		p.told = true
	}
}

// begin sends the head of the answer, that of the first run that made an event.
func (s *streamRun) begin(response *upstream.Response) {
	if s.begun {
		return
	}
	s.begun = true
	s.status = response.Status
	header := s.w.Header()
	s.options.Codec.Answer(header, response.Header)
	header.Del("Content-Length")
	s.w.WriteHeader(response.Status)
	telemetry.Histogram(s.options.Metrics, "stream_first_ms").Update(time.Since(s.began).Milliseconds())
}

// pass sends one event to the caller.
func (s *streamRun) pass(response *upstream.Response, event streamEvent) error {
	s.begin(response)
	if _, err := s.out.Write(event.Raw); err != nil {
		return err
	}
	if err := s.out.Flush(); err != nil {
		return err
	}
	s.delivered++
	s.measureGap(time.Now())
	if event.ID != 0 {
		s.last = event.ID
	}
	if !s.lostAt.IsZero() {
		pause := time.Since(s.lostAt)
		s.lostAt = time.Time{}
		telemetry.Histogram(s.options.Metrics, "stream_resume_ms").Update(pause.Milliseconds())
		s.options.Log.Info().Str("request", string(s.caller.ID)).Str("server", string(s.server)).Uint64("first_event", event.ID).
			Dur("after", pause).Msg("stream_resumed")
	}
	return nil
}

// measureGap keeps the time to the first event and the longest pause for the log.
func (s *streamRun) measureGap(now time.Time) {
	if s.lastPass.IsZero() {
		s.firstEvent = now.Sub(s.began)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastPass))
	}
	s.lastPass = now
}
