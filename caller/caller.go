// Package caller is a client of the callers' interface. It goes on with an
// interrupted answer through another entry, as any client can do that knows
// server-sent events.
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

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// Request is a request for a generation.
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
	// ID is the resume handle behind this event; empty at the end.
	ID   string
	Text string
	// FinishReason is why the answer ended; empty before the end.
	FinishReason     string
	CompletionTokens int
}

// Client sends requests to entries.
type Client struct {
	HTTP *http.Client
}

// Stream is an answer on its way.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Start begins an answer at the entry at address. An error that the entry
// answered is a *problem.Error.
func (c *Client) Start(ctx context.Context, address string, request Request) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if request.Class != "" {
		r.Header.Set("X-Class", request.Class)
	}
	return c.open(r, request.Workspace)
}

// Resume goes on behind the event id through the entry at address.
func (c *Client) Resume(ctx context.Context, address string, workspace wigeonfork.Workspace, eventID string) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set("Last-Event-ID", eventID)
	return c.open(r, workspace)
}

func (c *Client) open(r *http.Request, workspace wigeonfork.Workspace) (*Stream, error) {
	r.Header.Set("X-Workspace", string(workspace))
	response, err := c.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "reach entry")
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

// wireEvent is the JSON of an event.
type wireEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// ErrResume ends a stream whose entry leaves: the answer goes on behind the
// event's id through another entry.
var ErrResume = errors.New("answer goes on through another entry")

// resumeEvent is the line that announces ErrResume.
const resumeEvent = "event: resume"

// Next returns the next event, ErrResume with the id to go on behind, io.EOF after a whole answer, a *problem.Error
// if the answer was given up, and any other error if the stream broke.
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

// Close ends the stream.
func (s *Stream) Close() error { return s.body.Close() }
