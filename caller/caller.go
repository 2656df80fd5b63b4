// Package caller is a client of the HTTP interface that entries offer to callers. It resumes an
// interrupted answer through another entry. It uses only the event ids of server-sent events for
// this, so any client of server-sent events can do the same.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
)

// maxLineBytes is the maximum length of a line of a stream.
const maxLineBytes = 1 << 20

// maxErrorBytes is the maximum size of an error response that is read.
const maxErrorBytes = 64 << 10

// Request is a request for a streamed answer.
type Request struct {
	Workspace wigeonfork.Workspace `json:"-"`
	Class     string               `json:"-"`
	Model     wigeonfork.Model     `json:"model"`
	Prompt    string               `json:"prompt"`
	MaxTokens uint32               `json:"max_tokens,omitempty"`
	Seed      uint64               `json:"seed"`
	Adapter   string               `json:"adapter,omitempty"`
	Stream    bool                 `json:"stream"`
}

// Event is one event of a streamed answer.
type Event struct {
	// ID is the event id to resume after this event. It is empty in the last event.
	ID   string
	Text string
	// FinishReason is why the answer ended. It is empty before the end.
	FinishReason string
	// CompletionTokens is the token count that the event reports. It is 0 if there is none.
	CompletionTokens int
}

// Client sends requests to entries. HTTP must be set.
type Client struct {
	HTTP *http.Client
}

// Stream is a streamed answer that is being received.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Start requests an answer from the entry at address. An error reported by the entry is a
// *problem.Error.
func (c *Client) Start(ctx context.Context, address string, request Request) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if request.Class != "" {
		r.Header.Set("X-Class", request.Class)
	}
	return c.open(r, request.Workspace)
}

// Resume continues an answer after the event eventID, through the entry at address.
func (c *Client) Resume(ctx context.Context, address string, workspace wigeonfork.Workspace, eventID string) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	r.Header.Set("Last-Event-ID", eventID)
	return c.open(r, workspace)
}

func (c *Client) open(r *http.Request, workspace wigeonfork.Workspace) (*Stream, error) {
	r.Header.Set("X-Workspace", string(workspace))
	response, err := c.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "send request to entry")
	}
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	return &Stream{body: response.Body, lines: lines}, nil
}

func readProblem(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		if typed := problem.Unmarshal(body); typed != nil {
			return typed
		}
	}
	return errors.Newf("status %d without a typed error", response.StatusCode)
}

// wireEvent is the JSON form of an event.
type wireEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// ErrResume ends a stream whose entry is shutting down. The answer continues after the event's ID
// through another entry.
var ErrResume = errors.New("answer continues through another entry")

// resumeEvent is the line of a stream that precedes ErrResume.
const resumeEvent = "event: resume"

// Next returns the next event. It returns ErrResume and an event with the ID to resume after,
// io.EOF after a complete answer, a *problem.Error if the answer failed, and any other error if
// the connection broke.
func (s *Stream) Next() (Event, error) {
	var event Event
	resume := false
	for s.lines.Scan() {
		line := s.lines.Bytes()
		resume = resume || string(line) == resumeEvent
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			event.ID = string(id)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return event, io.EOF
		}
		if resume {
			return event, ErrResume
		}
		return event, event.decode(data)
	}
	if err := s.lines.Err(); err != nil {
		return event, err
	}
	return event, io.ErrUnexpectedEOF
}

func (e *Event) decode(data []byte) error {
	if typed := problem.Unmarshal(data); typed != nil {
		return typed
	}
	var wire wireEvent
	if err := json.Unmarshal(data, &wire); err != nil || len(wire.Choices) == 0 {
		return errors.Newf("malformed event of %d bytes", len(data))
	}
	e.Text = wire.Choices[0].Text
	if wire.Choices[0].FinishReason != nil {
		e.FinishReason = *wire.Choices[0].FinishReason
	}
	if wire.Usage != nil {
		e.CompletionTokens = wire.Usage.CompletionTokens
	}
	return nil
}

// Close closes the connection of the stream.
func (s *Stream) Close() error { return s.body.Close() }
