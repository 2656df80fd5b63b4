package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// sendPanic is a panic in the goroutine of a send. It is raised again in the goroutine of the
// request.
type sendPanic struct {
	cause any
	stack []byte
}

// handlePanic answers a request whose handler panics with an internal error. If the head of an
// answer has been sent, it breaks the connection, so that the answer does not look complete. It is
// deferred.
func (c *call) handlePanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	stack := debug.Stack()
	if inSend, ok := cause.(sendPanic); ok {
		cause, stack = inSend.cause, inSend.stack
	}
	telemetry.Counter(c.options.Metrics, "requests.panicked").Inc(1)
	c.options.Log.Error().Str("request", string(c.caller.ID)).Str("panic", fmt.Sprint(cause)).Bytes("trace", stack).Msg("request_panicked")
	if c.headSent {
		c.outcome = "panicked"
		panic(http.ErrAbortHandler)
	}
	// The headers may be those of a backend server's answer.
	clear(c.w.Header())
	c.w.Header().Set("Connection", "close")
	c.refuse(problem.New(problem.CodeInternal, problem.RunUnknown, problem.StepDispatch, "internal error"))
}

// exchangeRecovered is exchange, with a panic as its result.
func (c *call) exchangeRecovered(ctx context.Context, place *placement) (result *sendResult) {
	defer func() {
		if cause := recover(); cause != nil {
			c.fleet.failed(time.Now(), place, c.work)
			result = &sendResult{outcome: sendUnknown, place: place, panicked: &sendPanic{cause: cause, stack: debug.Stack()}}
		}
	}()
	return c.exchange(ctx, place)
}
