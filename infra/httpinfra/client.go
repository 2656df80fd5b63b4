// Package httpinfra implements HTTP clients of the platform's services: the
// transactional table, the object store, the weight store and the host list.
//
// A write fails with infra.OutcomeNotDone only if no connection was available for
// it or the service refused it. A failed read is always infra.OutcomeNotDone.
//
// Each call uses a new connection. An answer doesn't name the call, and one that comes a
// second time would be taken for the answer to the next call on the connection.
package httpinfra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

const (
	defaultDialTimeout    = 2 * time.Second
	defaultTimeout        = 5 * time.Second
	defaultMaxConnections = 32
	defaultMaxBodyBytes   = 64 << 20
	maxErrorBody          = 4 << 10
)

// Options are the settings of a client.
type Options struct {
	// Address is the IP and port of the service.
	Address string
	// DialTimeout limits the connection set-up; 0 means 2 s.
	DialTimeout time.Duration
	// Timeout limits each call in addition to its context; 0 means 5 s.
	Timeout time.Duration
	// MaxConnections limits the open connections; 0 means 32.
	MaxConnections int
	// MaxBodyBytes limits the body of an answer; 0 means 64 MiB.
	MaxBodyBytes int64
}

// client sends requests to one service.
type client struct {
	options   Options
	transport *http.Transport
}

func newClient(o Options) *client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
		MaxConnsPerHost:    o.MaxConnections,
	}
	return &client{options: o, transport: transport}
}

// Close closes idle connections.
func (c *client) Close() { c.transport.CloseIdleConnections() }

// call is one request to a service. Its operation names it in errors.
type call struct {
	operation string
	method    string
	path      string
	body      []byte
}

// isRead reports whether the call changes nothing.
func (r call) isRead() bool { return r.method == http.MethodGet }

// do sends r and returns the body of its answer. Every error is a
// *infra.Error.
func (c *client) do(ctx context.Context, r call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	resp, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, c.statusError(r, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxBodyBytes+1))
	if err != nil {
		return nil, c.responseLostError(r, err)
	}
	if int64(len(body)) > c.options.MaxBodyBytes {
		return nil, c.responseLostError(r, errors.Newf("answer over %d bytes", c.options.MaxBodyBytes))
	}
	return body, nil
}

func (c *client) send(ctx context.Context, r call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.options.Address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, c.newError(infra.OutcomeNotDone, r, err)
	}
	if !r.isRead() {
		// Without GetBody the transport can't resend the request on another connection.
		req.GetBody = nil
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, c.responseLostError(r, err)
	}
	return nil, c.newError(infra.OutcomeNotDone, r, err)
}

// statusError returns the error for an answer whose status is not a success.
func (c *client) statusError(r call, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	cause := errors.Newf("status %d: %s", resp.StatusCode, text)
	if resp.StatusCode == http.StatusNotFound {
		cause = errors.Wrapf(infra.ErrNotFound, "%s", text)
	}
	refused := resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable
	if refused {
		return c.newError(infra.OutcomeNotDone, r, cause)
	}
	return c.responseLostError(r, cause)
}

// responseLostError returns the error for a call that was sent but whose answer was
// lost or unusable.
func (c *client) responseLostError(r call, cause error) error {
	if r.isRead() {
		return c.newError(infra.OutcomeNotDone, r, cause)
	}
	return c.newError(infra.OutcomeUnknown, r, cause)
}

func (c *client) newError(outcome infra.Outcome, r call, cause error) error {
	return infra.NewError(outcome, r.operation, c.options.Address, cause)
}

// decode decodes the JSON answer to r.
func (c *client) decode(r call, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return c.responseLostError(r, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// query sends r and decodes its answer.
func (c *client) query(ctx context.Context, r call, into any) error {
	body, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	return c.decode(r, body, into)
}
