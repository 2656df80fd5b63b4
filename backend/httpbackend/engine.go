package httpbackend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// ErrStaleFencing is the cause of an error about an order that the engine refused
// because of its old fencing number.
var ErrStaleFencing = errors.New("stale fencing number")

// maxControlBytes bounds the body of a response that is not a stream.
const maxControlBytes = 8 << 20

// Options configures an Engine.
type Options struct {
	// Address is the IP and port of the engine.
	Address string
	// Capabilities lists the optional features of the engine.
	Capabilities backend.Capabilities
	// DialTimeout bounds the connection set-up; 0 means 2 s.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for a response header; 0 means 10 s.
	HeaderTimeout time.Duration
	// MaxConnections bounds the open streams; 0 means no limit.
	MaxConnections int
	// MaxEventBytes bounds the size of one stream event; 0 means 1 MiB.
	MaxEventBytes int
}

// Engine is the HTTP client of a model engine. It implements backend.Engine. Each call uses a new connection: an answer
// doesn't name the call, and an engine may send one a second time where the answer to the next call is expected.
type Engine struct {
	options Options
	// streams has the connections of streams, whose number is bounded, and control those of all other calls.
	streams *http.Transport
	control *http.Transport
}

var _ backend.Engine = (*Engine)(nil)

// NewEngine returns an Engine. It does not connect before the first call.
func NewEngine(options Options) *Engine {
	if options.HeaderTimeout <= 0 {
		options.HeaderTimeout = defaultHeaderTimeout
	}
	if options.MaxEventBytes <= 0 {
		options.MaxEventBytes = defaultMaxEventBytes
	}
	base := transportOptions{dialTimeout: options.DialTimeout, headerTimeout: options.HeaderTimeout}
	streams := base
	streams.maxConns = options.MaxConnections
	return &Engine{options: options, streams: newTransport(streams), control: newTransport(base)}
}

// Close closes idle connections. Open streams continue.
func (e *Engine) Close() {
	e.streams.CloseIdleConnections()
	e.control.CloseIdleConnections()
}

// Capabilities implements backend.Engine.
func (e *Engine) Capabilities() backend.Capabilities { return e.options.Capabilities }

// Generate implements backend.Engine. Cancelling ctx ends the stream.
func (e *Engine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	x := e.exchange(e.streams, "generate")
	body, err := json.Marshal(CompletionRequest{
		Model: req.Model, Version: req.Version, Adapter: req.Adapter, User: req.Workspace,
		Prompt: req.Prompt, Seed: req.Seed, MaxTokens: req.MaxTokens, Priority: req.Priority,
		Stream: true, StreamID: req.StreamID, PrefixTokens: req.Prefix,
	})
	if err != nil {
		return nil, x.fail(infra.OutcomeNotDone, err)
	}
	return e.openStream(ctx, x, http.MethodPost, PathCompletions, body)
}

// Resume implements backend.Engine. Cancelling ctx ends the stream.
func (e *Engine) Resume(ctx context.Context, streamID string, from wigeonfork.Position) (backend.Stream, error) {
	x := e.exchange(e.streams, "resume")
	path := PathStreams + url.PathEscape(streamID) + "?from=" + strconv.FormatUint(uint64(from), 10)
	return e.openStream(ctx, x, http.MethodGet, path, nil)
}

// Cancel implements backend.Engine. It succeeds for a stream that the engine does
// not know.
func (e *Engine) Cancel(ctx context.Context, streamID string) error {
	x := e.exchange(e.control, "cancel")
	resp, err := x.send(ctx, http.MethodDelete, e.url(PathStreams+url.PathEscape(streamID)), nil, nil)
	if err != nil {
		return err
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	return x.statusError(resp)
}

// Load implements backend.Engine.
func (e *Engine) Load(ctx context.Context) (backend.LoadReport, error) {
	var report backend.LoadReport
	err := e.query(ctx, "load", PathLoad, &report)
	return report, err
}

// CacheEvents implements backend.Engine.
func (e *Engine) CacheEvents(ctx context.Context, since uint64) ([]backend.CacheEvent, error) {
	var answer CacheEvents
	err := e.query(ctx, "cache events", PathCacheEvents+"?since="+strconv.FormatUint(since, 10), &answer)
	return answer.Events, err
}

// Order implements backend.Engine.
func (e *Engine) Order(ctx context.Context, order backend.Order) error {
	x := e.exchange(e.control, "order")
	body, err := json.Marshal(order)
	if err != nil {
		return x.fail(infra.OutcomeNotDone, err)
	}
	resp, err := x.send(ctx, http.MethodPost, e.url(PathOrders), body, jsonHeader())
	if err != nil {
		return err
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode == http.StatusConflict {
		return x.fail(infra.OutcomeNotDone, ErrStaleFencing)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return x.statusError(resp)
	}
	return nil
}

func (e *Engine) exchange(transport *http.Transport, operation string) exchange {
	return exchange{transport: transport, operation: operation, peer: e.options.Address}
}

func (e *Engine) url(path string) string { return "http://" + e.options.Address + path }

func (e *Engine) openStream(ctx context.Context, x exchange, method, path string, body []byte) (backend.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := x.send(ctx, method, e.url(path), body, jsonHeader())
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer drainAndClose(resp.Body)
		return nil, x.statusError(resp)
	}
	return newStream(x, resp.Body, cancel, e.options.MaxEventBytes), nil
}

// query reads one JSON response. A query has no effect on the engine, so the
// outcome of a failure is always OutcomeNotDone.
func (e *Engine) query(ctx context.Context, operation, path string, answer any) error {
	x := e.exchange(e.control, operation)
	resp, err := x.send(ctx, http.MethodGet, e.url(path), nil, nil)
	if err != nil {
		return x.fail(infra.OutcomeNotDone, err)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return x.fail(infra.OutcomeNotDone, x.statusError(resp))
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(answer); err != nil {
		return x.fail(infra.OutcomeNotDone, err)
	}
	return nil
}

// statusError returns the error for a response that is not a success. Statuses by
// which the engine refuses a request before it starts the work have OutcomeNotDone.
func (e exchange) statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	cause := errors.Newf("status %d: %s", resp.StatusCode, text)
	switch resp.StatusCode {
	case http.StatusNotFound:
		cause = errors.Mark(cause, infra.ErrNotFound)
	case http.StatusTooManyRequests:
		cause = errors.Mark(cause, backend.ErrOverloaded)
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		cause = errors.Mark(cause, backend.ErrRejected)
	}
	refused := resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable
	if refused {
		return e.fail(infra.OutcomeNotDone, cause)
	}
	return e.fail(infra.OutcomeUnknown, cause)
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": []string{"application/json"}}
}
