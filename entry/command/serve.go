package command

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

// Configuration returns the active snapshot, or nil if there is none yet.
type Configuration interface {
	Snapshot() *template.Snapshot
}

// GenerationHandler serves generation requests of callers.
type GenerationHandler struct {
	*Relayer
	Configuration Configuration
}

// Completions serves a completions request.
func (c *GenerationHandler) Completions(w http.ResponseWriter, r *http.Request) {
	c.generate(w, r, false)
}

// ChatCompletions serves a chat completions request.
func (c *GenerationHandler) ChatCompletions(w http.ResponseWriter, r *http.Request) {
	c.generate(w, r, true)
}

func (c *GenerationHandler) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	request, err := parse(w, r, c.Configuration.Snapshot(), chat)
	if err != nil {
		problem.Write(w, err)
		return
	}
	id := request.call.RequestID
	w.Header().Set(HeaderRequestID, string(id))
	version, err := pickVersion(&request.route, id)
	if err != nil {
		problem.Write(w, err.For(id))
		return
	}
	request.call.Version = version
	telemetry.Counter(c.Metrics, "entry.requests").Inc(1)
	answer := session.NewAnswer(request.call, c.Limits, time.Now())
	if refusal := c.checkQuarantine(answer, &request.route); refusal != nil {
		problem.Write(w, refusal.For(id))
		return
	}
	c.serve(w, r, answer, request.route, responseFormat{chat: chat, stream: request.stream, deadline: request.deadline}, 0)
}

// checkQuarantine returns a refusal if the request is quarantined or on hold. A request that is
// quarantined on one version is refused on all versions of the deployment, since a retry may pick
// another one.
func (c *GenerationHandler) checkQuarantine(answer *session.Answer, route *template.Route) *problem.Error {
	key := answer.Key
	for _, share := range route.Versions {
		key.Version = share.Version
		if c.Gate.Quarantined(answer.StartedAt, key) {
			_, refusal := c.Gate.CheckQuarantine(answer.StartedAt, key)
			return refusal
		}
	}
	_, refusal := c.Gate.CheckQuarantine(answer.StartedAt, answer.Key)
	return refusal
}

// serve relays an answer to the caller, starting at position from.
func (c *GenerationHandler) serve(w http.ResponseWriter, r *http.Request, answer *session.Answer, route template.Route, s responseFormat, from wigeonfork.Position) {
	if !c.Answers.Add(answer) {
		problem.Write(w, problem.New(problem.CodeDraining, problem.RunNot, problem.StepAccept, "entry is leaving").For(answer.Call.RequestID).After(configRetryAfter))
		return
	}
	defer c.Answers.Remove(answer)
	resume := answer.Relay().Generation() > 0
	id := answer.Call.RequestID
	refusal := c.Gate.Enter(r.Context(), admission.Request{
		ID: id, Workspace: answer.Call.Workspace, Class: answer.Call.Class, Deadline: s.deadline, Resume: resume,
	})
	if refusal != nil {
		problem.Write(w, refusal.For(id))
		return
	}
	defer c.Gate.Leave(id)
	relay := &answerRelay{
		Relayer:   c.Relayer,
		ctx:       r.Context(),
		answer:    answer,
		route:     route,
		chat:      s.chat,
		sink:      newSink(w, answer, s),
		delivered: from,
		tokens:    telemetry.Counter(c.Metrics, "relay.tokens"),
	}
	relay.run()
}

// Resume continues an answer after the last event that the caller received. The answer may have
// been started through another entry.
func (c *GenerationHandler) Resume(w http.ResponseWriter, r *http.Request) {
	sealed, from, err := generation.ParseEventID(r.Header.Get(HeaderLastEventID))
	if err != nil {
		problem.Write(w, badRequest("header %s is missing or malformed", HeaderLastEventID))
		return
	}
	handle, err := c.Sealer.Open(sealed)
	if err != nil {
		problem.Write(w, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepResume, "resume handle is not valid"))
		return
	}
	if wigeonfork.Workspace(r.Header.Get(HeaderWorkspace)) != handle.Workspace {
		problem.Write(w, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepResume, "resume handle belongs to another workspace"))
		return
	}
	c.resume(w, r, handle, from)
}

// resumeTimeout bounds the lookup of an answer at the agent that holds its tokens. An agent that
// does not respond in time counts as lost.
const resumeTimeout = 1500 * time.Millisecond

func (c *GenerationHandler) resume(w http.ResponseWriter, r *http.Request, handle generation.Handle, from wigeonfork.Position) {
	ctx, cancel := context.WithTimeout(r.Context(), resumeTimeout)
	defer cancel()
	call, err := c.Agents.Call(ctx, handle.Agent, handle.RequestID, handle.Generation)
	if err != nil {
		c.Log.Info().Str("request", string(handle.RequestID)).Str("peer", handle.Agent).Err(err).Msg("handle_lost")
		problem.Write(w, problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "the tokens of this answer are no longer held; send the request again").
			At(handle.Agent).For(handle.RequestID).After(backendRetryAfter))
		return
	}
	route, problemErr := resolveRoute(c.Configuration.Snapshot(), call.Workspace, call.Model)
	if problemErr != nil {
		problem.Write(w, problemErr.For(handle.RequestID))
		return
	}
	w.Header().Set(HeaderRequestID, string(handle.RequestID))
	telemetry.Counter(c.Metrics, "entry.resumes").Inc(1)
	answer := session.NewAnswer(*call, c.Limits, time.Now())
	answer.Adopt(time.Now(), handle.Agent, handle.Generation)
	c.serve(w, r, answer, route, responseFormat{chat: handle.Chat, stream: true}, from)
}
