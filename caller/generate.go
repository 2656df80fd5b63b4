package caller

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/problem"
)

// reconnectDelay is the minimum time between two attempts.
const reconnectDelay = 50 * time.Millisecond

// Generate reads an answer to its end. When a stream breaks, it resumes after the last event
// through the next of entries. onEvent may be nil. It returns the text received and the last
// event.
func (c *Client) Generate(ctx context.Context, entries []string, request Request, onEvent func(Event)) (string, Event, error) {
	call := generateCall{client: c, entries: entries, request: request, onEvent: onEvent}
	for {
		err := call.attempt(ctx)
		var typed *problem.Error
		switch {
		case err == nil:
			return string(call.text), call.last, nil
		case errors.As(err, &typed) && !retryable(typed):
			return string(call.text), call.last, typed
		}
		select {
		case <-time.After(max(reconnectDelay, retryAfter(typed))):
		case <-ctx.Done():
			return string(call.text), call.last, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

func retryAfter(typed *problem.Error) time.Duration {
	if typed == nil {
		return 0
	}
	return typed.RetryAfter
}

// retryable reports whether the same request may be sent again: it was not run, and the error says
// when to retry.
func retryable(typed *problem.Error) bool {
	return typed.Run == problem.RunNot && typed.RetryAfter > 0
}

// generateCall is the state of one call of Generate.
type generateCall struct {
	client   *Client
	entries  []string
	request  Request
	onEvent  func(Event)
	attempts int
	lastID   string
	text     []byte
	last     Event
}

func (w *generateCall) attempt(ctx context.Context) error {
	entry := w.entries[w.attempts%len(w.entries)]
	w.attempts++
	stream, err := w.open(ctx, entry)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, ErrResume) {
			w.lastID = event.ID
			return err
		}
		if err != nil {
			return err
		}
		w.handleEvent(event)
	}
}

func (w *generateCall) open(ctx context.Context, entry string) (*Stream, error) {
	if w.lastID == "" {
		return w.client.Start(ctx, entry, w.request)
	}
	return w.client.Resume(ctx, entry, w.request.Workspace, w.lastID)
}

func (w *generateCall) handleEvent(event Event) {
	if event.ID != "" {
		w.lastID = event.ID
	}
	w.text = append(w.text, event.Text...)
	w.last = event
	if w.onEvent != nil {
		w.onEvent(event)
	}
}
