// Package httpserver holds what the HTTP listeners of all daemons share: limits on
// headers and bodies, timeouts, bearer credentials and streamed answers.
package httpserver

import (
	"crypto/subtle"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Limits of every listener. Handlers set the write deadlines, since streams last
// for minutes.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// maxDiscard bounds what is read of the body of a request that is refused, in bytes.
	maxDiscard = 16 << 20
	// memoryRetry is the retry delay for clients whose body finds no room.
	memoryRetry = time.Second
)

// New returns a server for handler with the limits of every listener.
func New(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves until the server is closed. It logs any other error.
func Serve(server *http.Server, listener net.Listener, log *telemetry.Logger) {
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error().Str("listener", listener.Addr().String()).Err(err).Msg("listener_failed")
	}
}

// RequireBearer rejects requests without the bearer credential. An empty credential
// rejects all requests.
func RequireBearer(credential string) func(http.Handler) http.Handler {
	expected := []byte("Bearer " + credential)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given := []byte(r.Header.Get("Authorization"))
			if credential == "" || subtle.ConstantTimeCompare(given, expected) != 1 {
				problem.Write(w, problem.New(problem.CodeUnauthorized, problem.RunNot, problem.StepAccept, "credential is missing or wrong"))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// ReadBody reads a request's body of at most limit bytes within readBodyTimeout, and counts it in the account of the process until
// the request ends. A body that is refused is read and dropped.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Error) {
	body, err := GatherBody(w, r, limit, bodyHold(r))
	if LeavesUnread(r, err) {
		DiscardBody(w, r)
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memquota.ErrTooLarge):
		return nil, problem.New(problem.CodeTooLarge, problem.RunNot, problem.StepAccept, "body has more than %d bytes", limit)
	case errors.Is(err, memquota.ErrExceeded):
		return nil, problem.New(problem.CodeNoMemory, problem.RunNot, problem.StepAccept, "no room for the body").
			Because(err).After(memoryRetry/2 + rand.N(memoryRetry))
	default:
		return nil, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept, "body could not be read").Because(err)
	}
}

// errConnectionClosed means that the connection of a request was closed to make room for others, while its body was read.
var errConnectionClosed = errors.New("the connection was closed to make room for others")

// GatherBody reads a request's body of at most limit bytes within readBodyTimeout, and counts it in hold, which may be nil. It then
// clears the read deadline, since streamed answers last for minutes. It returns the errors of memquota.Gather.
func GatherBody(w http.ResponseWriter, r *http.Request, limit int64, hold *memquota.Hold) ([]byte, error) {
	beginBody(w, r)
	buffer, err := memquota.Gather(r.Body, r.ContentLength, limit, hold)
	isOpen := endBody(w, r)
	switch {
	case err != nil:
		return nil, err
	case !isOpen:
		return nil, errConnectionClosed
	}
	return buffer.Bytes(hold)
}

// SendsBody reports whether the client of a request sends a body without waiting for 100 Continue.
func SendsBody(r *http.Request) bool {
	return r.ContentLength != 0 && r.Header.Get("Expect") == ""
}

// LeavesUnread reports whether the client may be sending the rest of its body after GatherBody, which returned err. A body of
// announced length that is refused was not read at all, so that a client that waits for 100 Continue sends none.
func LeavesUnread(r *http.Request, err error) bool {
	if !errors.Is(err, memquota.ErrTooLarge) && !errors.Is(err, memquota.ErrExceeded) {
		return false
	}
	return r.ContentLength < 0 || SendsBody(r)
}

// DiscardBody reads and drops up to maxDiscard bytes of a request's body within readBodyTimeout. A server
// that refuses a request without reading its body closes the connection, and a client that still
// sends then gets a reset in place of the refusal.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	beginBody(w, r)
	defer endBody(w, r)
	// An error means that the client has disconnected or is too slow.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscard)
}

// beginBody bounds the time to read a request's body by readBodyTimeout, until endBody. The process waits for the client
// meanwhile, so that the connection may be closed to make room for others.
func beginBody(w http.ResponseWriter, r *http.Request) {
	// Test recorders don't support deadlines; limits on the size still apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readBodyTimeout))
	if c := guardedConnOf(r); c != nil {
		c.Wait()
	}
}

// endBody clears the deadline of beginBody, since streamed answers last for minutes. It returns false if the connection was closed
// to make room for others.
func endBody(w http.ResponseWriter, r *http.Request) bool {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c := guardedConnOf(r)
	return c == nil || c.Serve()
}

// deadlineUpdateInterval is the minimum time between two updates of a write deadline.
const deadlineUpdateInterval = time.Second

// StreamWriter writes a streamed answer with a deadline for each write.
type StreamWriter struct {
	out           http.ResponseWriter
	control       *http.ResponseController
	limit         time.Duration
	deadlineSetAt time.Time
}

// NewStreamWriter returns a writer to w. A write that blocks for longer than limit
// fails, up to deadlineUpdateInterval later.
func NewStreamWriter(w http.ResponseWriter, limit time.Duration) *StreamWriter {
	return &StreamWriter{out: w, control: http.NewResponseController(w), limit: limit}
}

// Write buffers data.
func (s *StreamWriter) Write(data []byte) (int, error) {
	s.extendDeadline()
	return s.out.Write(data)
}

// Flush sends what is buffered.
func (s *StreamWriter) Flush() error {
	s.extendDeadline()
	return s.control.Flush()
}

// extendDeadline extends the write deadline at most once per deadlineUpdateInterval,
// since each update resets a timer.
func (s *StreamWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < deadlineUpdateInterval {
		return
	}
	s.deadlineSetAt = now
	// Test recorders don't support deadlines.
	_ = s.control.SetWriteDeadline(now.Add(s.limit + deadlineUpdateInterval))
}

// AbortWriteAfter makes a write in progress fail if it still blocks after limit. Unlike the other
// methods it may be called concurrently with one of them.
func (s *StreamWriter) AbortWriteAfter(limit time.Duration) {
	// Test recorders don't support deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(limit))
}
