package matrix

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/problem"
)

const (
	// eventTimeout is how long a caller waits for the next event before it tries another entry.
	eventTimeout = 3 * time.Second
	// reconnectDelay is the minimum delay between two attempts of a caller.
	reconnectDelay = 50 * time.Millisecond
	// cellTimeout bounds the time until a caller has its final answer.
	cellTimeout = 40 * time.Second
)

// errNoEvent ends an attempt that has received no event for eventTimeout.
var errNoEvent = errors.New("no event within the caller's patience")

// readResult is a caller's result for one request.
type readResult struct {
	request caller.Request
	text    []byte
	last    caller.Event
	// positions are the positions of the events since the last restart.
	positions []wigeonfork.Position
	// brokenAttempts counts the attempts that ended without a final event or typed error.
	brokenAttempts int
	// restarts counts the restarts from the beginning. A caller restarts after a retryable error
	// that does not guarantee that the request was not run.
	restarts int
	// refusals are the typed errors. Each states whether the request was run.
	refusals []*problem.Error
	err      error
}

// reader is a caller that reads one answer and resumes it through other entries.
type reader struct {
	client  *caller.Client
	entries []string
	onEvent func(count int)
	// corrupt replaces an event by others, to show that the checks detect it. Nil changes
	// nothing.
	corrupt func(index int, event caller.Event) []caller.Event

	result   readResult
	attempts int
	events   int
	lastID   string
}

func newReader(entries []string, request caller.Request) *reader {
	client := &caller.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return &reader{client: client, entries: entries, result: readResult{request: request}}
}

// read reads the answer to its end or until ctx ends.
func (r *reader) read(ctx context.Context) readResult {
	for {
		err := r.attempt(ctx)
		if err == nil {
			return r.result
		}
		wait := reconnectDelay
		var typed *problem.Error
		if errors.As(err, &typed) {
			r.result.refusals = append(r.result.refusals, typed)
			if typed.RetryAfter == 0 {
				r.result.err = typed
				return r.result
			}
			r.prepareRetry(typed)
			wait = max(wait, typed.RetryAfter)
		} else {
			r.result.brokenAttempts++
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			r.result.err = errors.Wrapf(err, "answer is not whole in time, after %d attempts", r.attempts)
			return r.result
		}
	}
}

// prepareRetry prepares the next attempt after a typed error. A request or resume that was not run
// is repeated. After any other error the caller restarts from the beginning.
func (r *reader) prepareRetry(typed *problem.Error) {
	if typed.Run == problem.RunNot {
		return
	}
	r.result.restarts++
	r.result.text = nil
	r.result.positions = nil
	r.lastID = ""
}

func (r *reader) attempt(ctx context.Context) error {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	eventTimer := time.AfterFunc(eventTimeout, func() { cancel(errNoEvent) })
	defer eventTimer.Stop()
	entry := r.entries[r.attempts%len(r.entries)]
	r.attempts++
	stream, err := r.open(attempt, entry)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		eventTimer.Reset(eventTimeout)
		r.handle(event)
	}
}

func (r *reader) open(ctx context.Context, entry string) (*caller.Stream, error) {
	if r.lastID == "" {
		return r.client.Start(ctx, entry, r.result.request)
	}
	return r.client.Resume(ctx, entry, r.result.request.Workspace, r.lastID)
}

func (r *reader) handle(event caller.Event) {
	r.events++
	events := []caller.Event{event}
	if r.corrupt != nil {
		events = r.corrupt(r.events, event)
	}
	for _, e := range events {
		r.record(e)
	}
	if r.onEvent != nil {
		r.onEvent(r.events)
	}
}

func (r *reader) record(event caller.Event) {
	if event.ID != "" {
		r.lastID = event.ID
		if _, position, err := generation.ParseEventID(event.ID); err == nil {
			r.result.positions = append(r.result.positions, position)
		}
	}
	r.result.text = append(r.result.text, event.Text...)
	r.result.last = event
}
