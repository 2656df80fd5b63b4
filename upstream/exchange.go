package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/infra"
)

// Request is a request that is sent to a backend server unchanged.
type Request struct {
	Method string
	// Target is the request target with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// FreshConnection forbids a connection from the pool. The server may have closed such a
	// connection, and the request would be lost with an unknown outcome. It may also answer an earlier
	// request on it a second time.
	FreshConnection bool
	// MaxIdle bounds the idle connections to the server when this one is returned to the pool.
	// NoIdle keeps none and 0 selects the pool's bound. The pool's bound is never exceeded.
	MaxIdle int
	// Wanted reports whether the caller still waits for the answer. It is asked right before the
	// request is written, which may be long after Do was called. If it is nil, the caller waits.
	Wanted func() bool
	// GrowHead, if set, counts the bytes that are held of a large head of the response. An error ends the
	// exchange.
	GrowHead func(bytes int64) error
}

// ErrAbandoned means that a request was not written since ctx had ended, its deadline had passed or
// the caller waited no longer.
var ErrAbandoned = errors.New("the request is not wanted any more")

// ErrEndUnknown means that a response ended with its connection although the request had not been sent and received as a
// whole. The connection may have been reset: the error is then reported to the write, and the read sees an ordinary
// end of the stream.
var ErrEndUnknown = errors.New("the connection ended before the request was sent, and with it an answer without a length")

// ErrNoStatus means that the status in the head of a response is malformed or is not from 100 to 599.
var ErrNoStatus = errors.New("the answer has no valid status")

// NoIdle as MaxIdle closes the connection after its use.
const NoIdle = -1

// Response is a response of which the head has been read. Body must be closed. Its Read returns
// io.EOF only after the complete body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the response gives no length.
	ContentLength int64
	// Unframed is set if the response has neither a length nor chunks, so that its body ends with
	// the connection. Read of Body returns ErrEndUnknown if the body may not be complete.
	Unframed bool
	Body     io.ReadCloser
	// Reused is set if the connection came from the pool.
	Reused bool
	// SentAt is when sending the request began.
	SentAt time.Time
}

// maxSyncBody is the largest body in bytes that is sent before the response is read. Sending a
// larger one may block if the server responds before it has read the body.
const maxSyncBody = 4 << 10

// operation is the name of an exchange in errors.
const operation = "backend server exchange"

// hasEnded reports whether ctx has ended or its deadline has passed. The timer of a context may fire late
// in a busy process.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// isWanted reports whether the caller still waits for the answer.
func (r *Request) isWanted() bool { return r.Wanted == nil || r.Wanted() }

// Do sends a request once. An error is an *infra.Error whose outcome is OutcomeNotDone if no
// connection could be opened or the request was not wanted any more by then (ErrAbandoned), so that
// no byte was sent, and otherwise OutcomeUnknown. The exchange is aborted when ctx ends: what has
// not reached the server by then is discarded.
func (p *Pool) Do(ctx context.Context, server Server, req *Request) (*Response, error) {
	c, reused, err := p.get(ctx, server, req.FreshConnection)
	switch {
	case err != nil && hasEnded(ctx):
		return nil, infra.NewError(infra.OutcomeNotDone, operation, server.Address, errors.Mark(err, ErrAbandoned))
	case err != nil:
		return nil, infra.NewError(infra.OutcomeNotDone, operation, server.Address, err)
	case hasEnded(ctx) || !req.isWanted():
		p.put(server, c, req.MaxIdle)
		return nil, infra.NewError(infra.OutcomeNotDone, operation, server.Address, ErrAbandoned)
	}
	x := &exchange{pool: p, server: server, conn: c, maxIdle: req.MaxIdle}
	x.stopCancel = context.AfterFunc(ctx, c.abort)
	sentAt := time.Now()
	x.send(req)
	response, err := x.readHead(req)
	if err != nil {
		x.abandon()
		return nil, infra.NewError(infra.OutcomeUnknown, operation, server.Address, err)
	}
	x.body = response.Body
	x.keepAlive = !response.Close
	x.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	x.hasBody = response.Body != http.NoBody
	return &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Unframed:      !x.framed,
		Body:          x,
		Reused:        reused,
		SentAt:        sentAt,
	}, nil
}

// exchange is a request in progress on a connection. It implements the Body of the Response.
type exchange struct {
	pool   *Pool
	server Server
	conn   *conn
	// maxIdle is the MaxIdle of the request.
	maxIdle    int
	stopCancel func() bool
	body       io.ReadCloser
	keepAlive  bool // neither side closes the connection after the response
	framed     bool // the end of the response is marked by a length or by chunking
	hasBody    bool // the response may have a body, which may be empty
	complete   bool // the body was read to its end
	once       sync.Once
	// sent is closed when the request has been sent. It is nil for a synchronous send.
	sent    chan struct{}
	sendErr error
}

// send sends the request. A body above maxSyncBody is sent by a goroutine.
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

// requestSent reports whether the complete request was sent without an error.
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

// sentWhole reports whether the complete request was sent and acknowledged. It is called once the server has ended the
// connection, and ends a send that is still in progress.
func (x *exchange) sentWhole() bool {
	if x.sent != nil {
		// This fails if the connection is closed; then the send has ended.
		_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
		<-x.sent
	}
	return x.sendErr == nil && x.conn.unacknowledged() == 0
}

func appendHead(buf []byte, req *Request) []byte {
	out := bytes.NewBuffer(buf)
	out.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = req.Header.Write(out)
	if req.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// readHead reads the head of the final response and skips informational ones. It is called even if
// sending failed, since the server may have responded before.
func (x *exchange) readHead(req *Request) (*http.Response, error) {
	x.conn.beginHead(req.GrowHead)
	defer x.conn.endHead()
	for {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read the head of the answer")
		}
		if !hasValidStatus(response) {
			return nil, ErrNoStatus
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// The least and the greatest status of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// hasValidStatus reports whether the status of a response is well formed and in range. http.ReadResponse also accepts a
// sign before the digits.
func hasValidStatus(response *http.Response) bool {
	return response.StatusCode >= minStatus && response.StatusCode <= maxStatus &&
		strings.HasPrefix(response.Status, strconv.Itoa(response.StatusCode))
}

// Read implements io.Reader.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if err != io.EOF || x.complete {
		return n, err
	}
	if x.hasBody && !x.framed && !x.sentWhole() {
		return n, ErrEndUnknown
	}
	x.complete = true
	return n, err
}

// Close ends the exchange. The connection is kept only if request and response are complete, and
// the end of the response was marked by a length or by chunking.
func (x *exchange) Close() error {
	x.once.Do(func() {
		running := x.stopCancel()
		if x.keepAlive && x.framed && x.complete && running && x.requestSent() {
			x.pool.put(x.server, x.conn, x.maxIdle)
			return
		}
		if x.complete && x.requestSent() {
			closeConn(x.conn)
			return
		}
		x.conn.abort()
	})
	return nil
}

func (x *exchange) abandon() {
	x.stopCancel()
	x.conn.abort()
}
