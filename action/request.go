package action

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Request asks to run Call at most once under Key.
type Request struct {
	Workspace wigeonfork.Workspace
	// Key is the caller's Idempotency-Key as received.
	Key string
	// Call is the call to run. The coordinator sets its ClaimID.
	Call backend.Call
	// Target is the agent that runs the call.
	Target Target
	// Deadline is the latest time at which the caller gets its final answer.
	Deadline  time.Time
	RequestID wigeonfork.RequestID
	// FirstAttempt states that the caller never sent this key before. Without it, a refusal
	// while the table cannot be read does not say that the request was not run, because an
	// earlier copy of it may have run.
	FirstAttempt bool
}

// checkKey parses the key of a request and returns a refusal if the key cannot be used at now.
func checkKey(now time.Time, limits Limits, text string) (Key, *problem.Error) {
	key, err := ParseKey(text)
	if err != nil {
		return "", problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept,
			"Idempotency-Key must be a UUID of version 7").Because(err)
	}
	issued := key.IssuedAt()
	if now.Sub(issued) > limits.Retention {
		return "", problem.New(problem.CodeKeyExpired, problem.RunUnknown, problem.StepAccept,
			"Idempotency-Key is older than %s; its outcome is no longer kept", limits.Retention)
	}
	if issued.Sub(now) > limits.FutureTolerance {
		return "", problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepAccept,
			"Idempotency-Key is issued more than %s in the future", limits.FutureTolerance)
	}
	return key, nil
}
