package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/infra"
)

// Request is sent to a backend server as it is.
type Request struct {
	Method string
	// Target is the request target with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// FreshConnection forbids a connection that was used before: such a one may
	// have been closed by the server, and the request is lost without a trace.
	FreshConnection bool
	// MaxIdle bounds the unused connections to the server with which this one is
	// kept afterwards. NoIdle keeps none; 0 takes the pool's bound.
	MaxIdle int
}

// NoIdle has a connection closed after its use.
const NoIdle = -1

// Response is the head of an answer. Body must be closed; its Read fails with
// io.EOF only after the whole body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the answer gives no length.
	ContentLength int64
	Body          io.ReadCloser
	// Reused tells that the connection was used before.
	Reused bool
	// SentAt is the time at which the request began to be sent.
	SentAt time.Time
}

// maxSyncBody is the size of a body that is sent before the answer is awaited. A
// larger one may fill the connection of a server that answers before reading it.
const maxSyncBody = 4 << 10

// operation is named in errors.
const operation = "backend server exchange"

// Do sends a request once. An error is an *infra.Error whose outcome is
// OutcomeNotDone if no byte had left. The exchange ends with ctx.
func (p *Pool) Do(ctx context.Context, server Server, req *Request) (*Response, error) {
	c, reused, err := p.get(ctx, server, req.FreshConnection)
	if err != nil {
		return nil, infra.NewError(infra.OutcomeNotDone, operation, server.Address, err)
	}
	x := &exchange{pool: p, server: server, conn: c, maxIdle: req.MaxIdle}
	x.stopCancel = context.AfterFunc(ctx, func() { closeConn(c) })
	sentAt := time.Now()
	x.send(req)
	response, err := x.readHead(req.Method)
	if err != nil {
		x.abandon()
		return nil, infra.NewError(infra.OutcomeUnknown, operation, server.Address, err)
	}
	x.body = response.Body
	x.keepAlive = !response.Close && response.ContentLength >= -1
	x.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Body:          x,
		Reused:        reused,
		SentAt:        sentAt,
	}, nil
}

// exchange is one request under way on a connection. As a body it reads the
// answer's body.
type exchange struct {
	pool   *Pool
	server Server
	conn   *conn
	// maxIdle is that of the request.
	maxIdle    int
	stopCancel func() bool
	body       io.ReadCloser
	keepAlive  bool
	framed     bool
	complete   bool
	once       sync.Once
	// sent is closed once the request has been sent; nil if it was sent at once.
	sent    chan struct{}
	sendErr error
}

func (x *exchange) send(req *Request) {
	head := appendHead(nil, req)
	if len(req.Body) <= maxSyncBody {
		_, x.sendErr = x.conn.Write(append(head, req.Body...))
		return
	}
	x.sent = make(chan struct{})
	go func() {
		defer close(x.sent)
		if _, x.sendErr = x.conn.Write(head); x.sendErr == nil {
			_, x.sendErr = x.conn.Write(req.Body)
		}
	}()
}

// requestSent tells whether the whole request has left without an error.
func (x *exchange) requestSent() bool {
	if x.sent == nil {
		return x.sendErr == nil
	}
	select {
	case <-x.sent:
		return x.sendErr == nil
	default:
		return false
	}
}

func appendHead(buf []byte, req *Request) []byte {
	out := bytes.NewBuffer(buf)
	out.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = req.Header.Write(out)
	if req.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// readHead reads the head of the final answer. A server may answer although
// sending has failed, so that the answer is read in any case.
func (x *exchange) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read the head of the answer")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// Read implements io.Reader.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if both sides are whole
// and the answer's end was marked.
func (x *exchange) Close() error {
	x.once.Do(func() {
		running := x.stopCancel()
		if x.keepAlive && x.framed && x.complete && running && x.requestSent() {
			x.pool.put(x.server, x.conn, x.maxIdle)
			return
		}
		closeConn(x.conn)
	})
	return nil
}

func (x *exchange) abandon() {
	x.stopCancel()
	closeConn(x.conn)
}
