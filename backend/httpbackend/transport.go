// Package httpbackend implements HTTP clients of backend servers: model engines
// that stream completions as server-sent events, and plain services.
//
// This package never retries a request. infra.OutcomeOf of an error states whether
// the backend server may have received the request.
package httpbackend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
)

const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	// maxErrorBytes bounds the body that is read from a response that is not used.
	maxErrorBytes = 4 << 10
)

type transportOptions struct {
	dialTimeout   time.Duration
	headerTimeout time.Duration
	maxConns      int
}

// newTransport returns a transport that uses each connection for one request.
func newTransport(o transportOptions) *http.Transport {
	if o.dialTimeout <= 0 {
		o.dialTimeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: o.dialTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     true,
		DisableCompression:    true,
		MaxConnsPerHost:       o.maxConns,
		ResponseHeaderTimeout: o.headerTimeout,
	}
}

// exchange sends one request and creates its errors. A failure has OutcomeUnknown
// once a connection was assigned, because bytes may have been sent.
type exchange struct {
	transport *http.Transport
	operation string
	peer      string
}

func (e exchange) send(ctx context.Context, method, url string, body []byte, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bodyReader(body))
	if err != nil {
		return nil, e.fail(infra.OutcomeNotDone, err)
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := e.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, e.fail(infra.OutcomeUnknown, err)
	}
	return nil, e.fail(infra.OutcomeNotDone, err)
}

func (e exchange) fail(outcome infra.Outcome, cause error) error {
	return infra.NewError(outcome, e.operation, e.peer, cause)
}

func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// drainAndClose reads the rest of a short response, so that its connection ends in order.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
