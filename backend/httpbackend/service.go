package httpbackend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

const defaultMaxReplyBytes = 16 << 20

// ServiceOptions configures a Service.
type ServiceOptions struct {
	// Address is the IP and port of the service.
	Address string
	// DialTimeout bounds the connection set-up; 0 means 2 s.
	DialTimeout time.Duration
	// MaxConnections bounds the concurrent calls; 0 means no limit.
	MaxConnections int
	// MaxReplyBytes bounds the body of a reply; 0 means 16 MiB.
	MaxReplyBytes int64
}

// Service is the HTTP client of a plain service. It implements backend.Service.
// Each call uses a new connection, so that no call is sent on a connection that
// the service has already closed.
type Service struct {
	options   ServiceOptions
	transport *http.Transport
}

var _ backend.Service = (*Service)(nil)

// NewService returns a Service. It connects on each call.
func NewService(options ServiceOptions) *Service {
	if options.MaxReplyBytes <= 0 {
		options.MaxReplyBytes = defaultMaxReplyBytes
	}
	transport := newTransport(transportOptions{
		dialTimeout: options.DialTimeout,
		maxConns:    options.MaxConnections,
	})
	return &Service{options: options, transport: transport}
}

// Call implements backend.Service. A response with any status is a Reply, also a
// redirect. If ctx ends after bytes may have been sent, the outcome is unknown.
func (s *Service) Call(ctx context.Context, call backend.Call) (backend.Reply, error) {
	x := exchange{transport: s.transport, operation: "call", peer: s.options.Address}
	if err := ctx.Err(); err != nil {
		return backend.Reply{}, x.fail(infra.OutcomeNotDone, err)
	}
	header := http.Header{}
	if call.ClaimID != "" {
		header.Set(HeaderClaimID, call.ClaimID)
	}
	if len(call.Body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	resp, err := x.send(ctx, call.Method, "http://"+s.options.Address+call.Path, call.Body, header)
	if err != nil {
		return backend.Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s.reply(x, resp)
}

func (s *Service) reply(x exchange, resp *http.Response) (backend.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.options.MaxReplyBytes+1))
	if err != nil {
		return backend.Reply{}, x.fail(infra.OutcomeUnknown, err)
	}
	if int64(len(body)) > s.options.MaxReplyBytes {
		cause := errors.Newf("reply exceeds %d bytes", s.options.MaxReplyBytes)
		return backend.Reply{}, x.fail(infra.OutcomeUnknown, cause)
	}
	return backend.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
