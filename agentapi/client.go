package agentapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// dialTimeout bounds the connection set-up to an agent.
const dialTimeout = 300 * time.Millisecond

// maxErrorBytes bounds the body that is read from an error response.
const maxErrorBytes = 64 << 10

// maxIdlePerAgent bounds the idle connections to one agent.
const maxIdlePerAgent = 64

// Client sends requests to agents. It is safe for concurrent use.
type Client struct {
	http       *http.Client
	transport  *http.Transport
	credential string
}

// NewClient returns a client that authenticates with credential as bearer token.
func NewClient(credential string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
	return &Client{http: &http.Client{Transport: transport}, transport: transport, credential: credential}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Stream is the stream of frames of one generation.
type Stream struct {
	body         io.ReadCloser
	reader       *frame.Reader
	readerNumber string
}

// ReaderNumber returns the number that the agent gave this stream's reader. It is
// passed to Attach and Release.
func (s *Stream) ReaderNumber() string { return s.readerNumber }

// Read reads the next frame into f; see frame.Reader.
func (s *Stream) Read(f *frame.Frame) error { return s.reader.Read(f) }

// Buffered reports whether a frame can be read without blocking.
func (s *Stream) Buffered() bool { return s.reader.Buffered() }

// Close closes the stream and its connection.
func (s *Stream) Close() error { return s.body.Close() }

// Generate begins a generation at the agent. The error is a *problem.Error if the
// agent responded with one, else an *infra.Error.
func (c *Client) Generate(ctx context.Context, agent string, call *Generate) (*Stream, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode generate call")
	}
	return c.stream(ctx, http.MethodPost, agent, PathGenerate, body, "")
}

// Attach reads a generation from position from. reader is the ReaderNumber of the
// stream that broke, or empty to displace any reader.
func (c *Client) Attach(ctx context.Context, agent string, id wigeonfork.RequestID, g wigeonfork.Generation, from wigeonfork.Position, reader string) (*Stream, error) {
	path := GenerationPath(id, g) + "?from=" + strconv.FormatUint(uint64(from), 10)
	return c.stream(ctx, http.MethodGet, agent, path, nil, reader)
}

// Call returns the call that began a generation, without its prefix.
func (c *Client) Call(ctx context.Context, agent string, id wigeonfork.RequestID, g wigeonfork.Generation) (*Generate, error) {
	path := GenerationPath(id, g) + PathCall
	response, err := c.do(ctx, http.MethodGet, agent, path, nil, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var call Generate
	if err := json.NewDecoder(response.Body).Decode(&call); err != nil {
		return nil, infra.NewError(infra.OutcomeNotDone, path, agent, err)
	}
	return &call, nil
}

// Release tells the agent that a generation has no reader any more. The agent
// cancels the generation after linger. It refuses if another reader has displaced
// reader, which is as for Attach.
func (c *Client) Release(ctx context.Context, agent string, id wigeonfork.RequestID, g wigeonfork.Generation, linger time.Duration, reader string) error {
	path := GenerationPath(id, g) + "?linger_ms=" + strconv.FormatInt(linger.Milliseconds(), 10)
	response, err := c.do(ctx, http.MethodDelete, agent, path, nil, reader)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Post sends a JSON request and decodes the JSON response into answer.
func (c *Client) Post(ctx context.Context, agent, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	response, err := c.do(ctx, http.MethodPost, agent, path, body, "")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return infra.NewError(infra.OutcomeUnknown, path, agent, err)
	}
	return nil
}

func (c *Client) stream(ctx context.Context, method, agent, path string, body []byte, reader string) (*Stream, error) {
	response, err := c.do(ctx, method, agent, path, body, reader)
	if err != nil {
		return nil, err
	}
	return &Stream{body: response.Body, reader: frame.NewReader(response.Body), readerNumber: response.Header.Get(HeaderReader)}, nil
}

// do sends a request once, without retries. The outcome of a failure is unknown
// once a connection was assigned, because bytes may have been sent.
func (c *Client) do(ctx context.Context, method, agent, path string, body []byte, reader string) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+agent+path, bytes.NewReader(body))
	if err != nil {
		return nil, infra.NewError(infra.OutcomeNotDone, path, agent, err)
	}
	// Without GetBody the transport cannot send the body a second time.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.credential)
	if reader != "" {
		request.Header.Set(HeaderReader, reader)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, infra.NewError(failureOutcome(sent.Load()), path, agent, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, readProblem(response, agent)
	}
	return response, nil
}

func failureOutcome(sent bool) infra.Outcome {
	if sent {
		return infra.OutcomeUnknown
	}
	return infra.OutcomeNotDone
}

func readProblem(response *http.Response, agent string) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		if reported := problem.Unmarshal(body); reported != nil {
			return reported.At(agent)
		}
	}
	return infra.NewError(infra.OutcomeUnknown, "status "+strconv.Itoa(response.StatusCode), agent, err)
}
