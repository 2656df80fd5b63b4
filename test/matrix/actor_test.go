package matrix

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/entry/command"
	"github.com/wigeonfork/wigeonfork/problem"
)

// maxReplyBytes bounds the size of the replies that a caller of actions reads.
const maxReplyBytes = 1 << 20

// actionPath is the path of the request to the plain service.
const actionPath = "/certificates"

// actionResult is a caller's result for one action.
type actionResult struct {
	key, body string
	// reply is the service's reply. done is set once it was received.
	reply string
	done  bool
	// abandoned is set if the caller accepted a refusal as not run as its final answer.
	abandoned bool
	// outcomeUnknown is set if the final answer was that the outcome is unknown.
	outcomeUnknown bool
	refusals       []*problem.Error
	err            error
}

// actionCaller is a caller that sends one action until it has a final answer.
type actionCaller struct {
	client  *http.Client
	entries []string
	// abandons makes the caller stop after a refusal as not run.
	abandons bool
	// onFailedAttempt is called after each attempt without a reply.
	onFailedAttempt func()
	result          actionResult
	attempts        int
}

func newActionCaller(entries []string, body string, abandons bool, onFailedAttempt func()) (*actionCaller, error) {
	key, err := action.NewKey(time.Now())
	if err != nil {
		return nil, err
	}
	return &actionCaller{client: newActionClient(), entries: entries, abandons: abandons, onFailedAttempt: onFailedAttempt, result: actionResult{key: string(key), body: body}}, nil
}

const (
	// actionDeadline is the deadline that a caller sets for one attempt.
	actionDeadline = 3 * time.Second
	// actionTimeout is how long a caller waits for the response to one attempt.
	actionTimeout = 4 * time.Second
)

func newActionClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: actionTimeout}
}

// send sends the action until its final answer or until ctx ends.
func (a *actionCaller) send(ctx context.Context) actionResult {
	for {
		err := a.attempt(ctx)
		if err == nil {
			return a.result
		}
		wait := reconnectDelay
		if a.onFailedAttempt != nil {
			a.onFailedAttempt()
		}
		var typed *problem.Error
		if errors.As(err, &typed) {
			a.result.refusals = append(a.result.refusals, typed)
			if a.recordError(typed) {
				return a.result
			}
			wait = max(wait, typed.RetryAfter)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			a.result.err = errors.CombineErrors(errors.New("no final answer in time"), err)
			return a.result
		}
	}
}

// lastRefusals returns the last two typed errors.
func (p *actionResult) lastRefusals() []*problem.Error {
	return p.refusals[max(0, len(p.refusals)-2):]
}

// recordError records a typed error and returns whether the caller stops.
func (a *actionCaller) recordError(typed *problem.Error) bool {
	switch {
	case typed.Run == problem.RunNot && a.abandons:
		a.result.abandoned = true
	case typed.RetryAfter > 0:
		return false
	case typed.Code == problem.CodeOutcomeUnknown:
		a.result.outcomeUnknown = true
	default:
		a.result.err = typed
	}
	return true
}

func (a *actionCaller) attempt(ctx context.Context) error {
	entry := a.entries[a.attempts%len(a.entries)]
	first := a.attempts == 0
	a.attempts++
	url := "http://" + entry + "/v1/actions/" + string(embedded.Service) + actionPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.result.body))
	if err != nil {
		return err
	}
	request.Header.Set(command.HeaderWorkspace, string(embedded.Workspace))
	// Without GetBody, the transport does not retry the request itself.
	request.GetBody = nil
	request.Header.Set(command.HeaderIdempotencyKey, a.result.key)
	request.Header.Set(command.HeaderDeadline, strconv.FormatInt(actionDeadline.Milliseconds(), 10))
	if first {
		request.Header.Set(command.HeaderFirstAttempt, "true")
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if typed := problem.Unmarshal(body); typed != nil {
		return typed
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d without a typed error", response.StatusCode)
	}
	a.result.done = true
	a.result.reply = string(body)
	return nil
}
