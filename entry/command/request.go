// Package command holds the operations that change an entry's state: it accepts requests, relays
// answers and runs actions.
package command

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/template"
)

// The HTTP headers of the caller API.
const (
	HeaderWorkspace   = "X-Workspace"
	HeaderClass       = "X-Class"
	HeaderRequestID   = "X-Request-Id"
	HeaderLastEventID = "Last-Event-ID"
	// HeaderDeadline is how long the caller waits for the complete answer, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
)

// Limits of a generation request.
const (
	maxRequestBytes  = 4 << 20
	defaultMaxTokens = 256
	maxTokensLimit   = 32768
	// maxGenerationDeadline bounds the deadline that a caller may set.
	maxGenerationDeadline = time.Hour
)

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// generationRequest is the body of a completions or chat completions request.
type generationRequest struct {
	Model     wigeonfork.Model `json:"model"`
	Prompt    string           `json:"prompt"`
	Messages  []message        `json:"messages"`
	MaxTokens *uint32          `json:"max_tokens"`
	Seed      *uint64          `json:"seed"`
	Stream    bool             `json:"stream"`
	Adapter   string           `json:"adapter"`
}

// parsedRequest is a validated request with its route.
type parsedRequest struct {
	call   agentapi.Generate
	route  template.Route
	stream bool
	chat   bool
	// deadline is zero if the caller sets none.
	deadline time.Time
}

func badRequest(format string, args ...any) *problem.Error {
	return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept, format, args...)
}

// parse validates a request and resolves its route. Later steps use this route and its revision.
func parse(w http.ResponseWriter, r *http.Request, snapshot *template.Snapshot, chat bool) (*parsedRequest, *problem.Error) {
	body, err := httpserver.ReadBody(w, r, maxRequestBytes)
	if err != nil {
		return nil, err
	}
	var request generationRequest
	if len(body) == 0 {
		return nil, badRequest("request has no body")
	}
	if json.Unmarshal(body, &request) != nil {
		return nil, badRequest("body is not a JSON object of the documented shape")
	}
	prompt, err := request.prompt(chat)
	if err != nil {
		return nil, err
	}
	route, err := resolve(snapshot, r, request.Model)
	if err != nil {
		return nil, err
	}
	class, err := classOf(r, &route)
	if err != nil {
		return nil, err
	}
	maxTokens, err := request.maxTokens()
	if err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(r, maxGenerationDeadline)
	if err != nil {
		return nil, err
	}
	parsed := &parsedRequest{route: route, stream: request.Stream, chat: chat, deadline: deadline}
	parsed.call = agentapi.Generate{
		RequestID:    newRequestID(),
		Workspace:    route.Workspace,
		Class:        class,
		Model:        request.Model,
		Adapter:      request.Adapter,
		Prompt:       prompt,
		Seed:         request.seed(),
		MaxTokens:    maxTokens,
		OrphanMillis: orphanTimeout.Milliseconds(),
	}
	return parsed, nil
}

func (r *generationRequest) prompt(chat bool) (string, *problem.Error) {
	prompt := r.Prompt
	if chat {
		var text strings.Builder
		for _, m := range r.Messages {
			text.WriteString(m.Role + ": " + m.Content + "\n")
		}
		prompt = text.String()
	}
	if prompt == "" {
		return "", badRequest("prompt is empty")
	}
	if !utf8.ValidString(prompt) {
		return "", badRequest("prompt is not valid UTF-8")
	}
	return prompt, nil
}

func (r *generationRequest) maxTokens() (uint32, *problem.Error) {
	if r.MaxTokens == nil {
		return defaultMaxTokens, nil
	}
	if *r.MaxTokens == 0 || *r.MaxTokens > maxTokensLimit {
		return 0, badRequest("max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return *r.MaxTokens, nil
}

// seed returns the caller's seed or a random one. All generations of an answer use the same seed.
func (r *generationRequest) seed() uint64 {
	if r.Seed != nil {
		return *r.Seed
	}
	var random [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:])
}

func resolve(snapshot *template.Snapshot, r *http.Request, model wigeonfork.Model) (template.Route, *problem.Error) {
	return resolveRoute(snapshot, wigeonfork.Workspace(r.Header.Get(HeaderWorkspace)), model)
}

func resolveRoute(snapshot *template.Snapshot, workspace wigeonfork.Workspace, model wigeonfork.Model) (template.Route, *problem.Error) {
	if snapshot == nil {
		return template.Route{}, problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepRoute, "no configuration yet").After(configRetryAfter)
	}
	if !snapshot.KnowsWorkspace(workspace) {
		return template.Route{}, problem.New(problem.CodeUnknownWorkspace, problem.RunNot, problem.StepAccept, "workspace %q is not served", workspace)
	}
	route, ok := snapshot.Resolve(workspace, model)
	if !ok {
		return template.Route{}, problem.New(problem.CodeUnknownModel, problem.RunNot, problem.StepAccept, "model %q is not served to workspace %q", model, workspace)
	}
	return route, nil
}

// classOf returns the class in the request's header. The default is the class that the deployment
// sets, or ClassLookup if it sets none.
func classOf(r *http.Request, route *template.Route) (wigeonfork.Class, *problem.Error) {
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = route.Values["class"].Text()
	}
	if name == "" {
		return wigeonfork.ClassLookup, nil
	}
	class, err := wigeonfork.ParseClass(name)
	if err != nil {
		return class, badRequest("class %q is unknown", name)
	}
	return class, nil
}

// deadlineOf returns the deadline that the caller sets, or the zero time if it sets none.
func deadlineOf(r *http.Request, maxDeadline time.Duration) (time.Time, *problem.Error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	limit := time.Duration(millis) * time.Millisecond
	if err != nil || limit <= 0 || limit > maxDeadline {
		return time.Time{}, badRequest("header %s must be from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	return time.Now().Add(limit), nil
}

func newRequestID() wigeonfork.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return wigeonfork.RequestID(id.String())
}

// pickVersion picks a version in proportion to the deployment's traffic shares.
func pickVersion(route *template.Route, id wigeonfork.RequestID) (wigeonfork.Version, *problem.Error) {
	version, ok := route.PickVersion(xxhash.Sum64String(string(id)))
	if !ok {
		return "", problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepRoute, "deployment %q has no version that takes traffic", route.Deployment).After(configRetryAfter)
	}
	return version, nil
}
