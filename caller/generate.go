package caller

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/problem"
)

// reconnectDelay is the minimum wait after a failed attempt.
const reconnectDelay = 50 * time.Millisecond

// Generate reads an answer to its end. When a stream breaks, it resumes after the last event
// through the next entry of the list. If no event has arrived yet, it sends the request again. It
// retries until ctx ends, except after a *problem.Error that must not be retried. onEvent may be
// nil. It returns the text received and the last event.
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

// retryable reports whether the same request may be sent again. This requires that it was not run
// and that the error states when to retry.
func retryable(typed *problem.Error) bool {
	return typed.Run == problem.RunNot && typed.RetryAfter > 0
}

// generateCall is the state of one call of Generate.
type generateCall struct {
	client      *Client
	entries     []string
	request     Request
	onEvent     func(Event)
	attempts    int
	lastEventID string
	text        []byte
	last        Event
}

func (c *generateCall) attempt(ctx context.Context) error {
	entry := c.entries[c.attempts%len(c.entries)]
	c.attempts++
	stream, err := c.open(ctx, entry)
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
			c.lastEventID = event.ID
			return err
		}
		if err != nil {
			return err
		}
		c.handleEvent(event)
	}
}

func (c *generateCall) open(ctx context.Context, entry string) (*Stream, error) {
	if c.lastEventID == "" {
		return c.client.Start(ctx, entry, c.request)
	}
	return c.client.Resume(ctx, entry, c.request.Workspace, c.lastEventID)
}

func (c *generateCall) handleEvent(event Event) {
	if event.ID != "" {
		c.lastEventID = event.ID
	}
	c.text = append(c.text, event.Text...)
	c.last = event
	if c.onEvent != nil {
		c.onEvent(event)
	}
}
