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
func (h *GenerationHandler) Completions(w http.ResponseWriter, r *http.Request) {
	h.generate(w, r, false)
}

// ChatCompletions serves a chat completions request.
func (h *GenerationHandler) ChatCompletions(w http.ResponseWriter, r *http.Request) {
	h.generate(w, r, true)
}

func (h *GenerationHandler) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	request, err := parse(w, r, h.Configuration.Snapshot(), chat)
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
	telemetry.Counter(h.Metrics, "entry.requests").Inc(1)
	answer := session.NewAnswer(request.call, h.Limits, time.Now())
	if refusal := h.checkQuarantine(answer, &request.route); refusal != nil {
		problem.Write(w, refusal.For(id))
		return
	}
	h.serve(w, r, answer, request.route, responseFormat{chat: chat, stream: request.stream, deadline: request.deadline}, 0)
}

// checkQuarantine returns a refusal if the request is quarantined or on hold. A request that is
// quarantined on one version is refused on all versions of the deployment, since a retry may pick
// another one.
func (h *GenerationHandler) checkQuarantine(answer *session.Answer, route *template.Route) *problem.Error {
	key := answer.Key
	for _, share := range route.Versions {
		key.Version = share.Version
		if h.Gate.Quarantined(answer.StartedAt, key) {
			_, refusal := h.Gate.CheckQuarantine(answer.StartedAt, key)
			return refusal
		}
	}
	_, refusal := h.Gate.CheckQuarantine(answer.StartedAt, answer.Key)
	return refusal
}

// serve relays an answer to the caller, starting at position from.
func (h *GenerationHandler) serve(w http.ResponseWriter, r *http.Request, answer *session.Answer, route template.Route, format responseFormat, from wigeonfork.Position) {
	if !h.Answers.Add(answer) {
		problem.Write(w, problem.New(problem.CodeDraining, problem.RunNot, problem.StepAccept, "entry is leaving").For(answer.Call.RequestID).After(configRetryAfter))
		return
	}
	defer h.Answers.Remove(answer)
	resume := answer.Relay().Generation() > 0
	id := answer.Call.RequestID
	refusal := h.Gate.Enter(r.Context(), admission.Request{
		ID: id, Workspace: answer.Call.Workspace, Class: answer.Call.Class, Deadline: format.deadline, Resume: resume,
	})
	if refusal != nil {
		problem.Write(w, refusal.For(id))
		return
	}
	defer h.Gate.Leave(id)
	relay := &answerRelay{
		Relayer:   h.Relayer,
		ctx:       r.Context(),
		answer:    answer,
		route:     route,
		chat:      format.chat,
		sink:      newSink(w, answer, format),
		delivered: from,
		tokens:    telemetry.Counter(h.Metrics, "relay.tokens"),
	}
	relay.run()
}

// Resume continues an answer after the last event that the caller received. The answer may have
// been started through another entry.
func (h *GenerationHandler) Resume(w http.ResponseWriter, r *http.Request) {
	sealed, from, err := generation.ParseEventID(r.Header.Get(HeaderLastEventID))
	if err != nil {
		problem.Write(w, badRequest("header %s is missing or malformed", HeaderLastEventID))
		return
	}
	handle, err := h.Sealer.Open(sealed)
	if err != nil {
		problem.Write(w, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepResume, "resume handle is not valid"))
		return
	}
	if wigeonfork.Workspace(r.Header.Get(HeaderWorkspace)) != handle.Workspace {
		problem.Write(w, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepResume, "resume handle belongs to another workspace"))
		return
	}
	h.resume(w, r, handle, from)
}

// resumeTimeout bounds the lookup of an answer at the agent that holds its tokens. An agent that
// does not respond in time counts as lost.
const resumeTimeout = 1500 * time.Millisecond

func (h *GenerationHandler) resume(w http.ResponseWriter, r *http.Request, handle generation.Handle, from wigeonfork.Position) {
	ctx, cancel := context.WithTimeout(r.Context(), resumeTimeout)
	defer cancel()
	call, err := h.Agents.Call(ctx, handle.Agent, handle.RequestID, handle.Generation)
	if err != nil {
		h.Log.Info().Str("request", string(handle.RequestID)).Str("peer", handle.Agent).Err(err).Msg("handle_lost")
		problem.Write(w, problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "the tokens of this answer are no longer held; send the request again").
			At(handle.Agent).For(handle.RequestID).After(backendRetryAfter))
		return
	}
	route, problemErr := resolveRoute(h.Configuration.Snapshot(), call.Workspace, call.Model)
	if problemErr != nil {
		problem.Write(w, problemErr.For(handle.RequestID))
		return
	}
	w.Header().Set(HeaderRequestID, string(handle.RequestID))
	telemetry.Counter(h.Metrics, "entry.resumes").Inc(1)
	answer := session.NewAnswer(*call, h.Limits, time.Now())
	answer.Adopt(time.Now(), handle.Agent, handle.Generation)
	h.serve(w, r, answer, route, responseFormat{chat: handle.Chat, stream: true}, from)
}
