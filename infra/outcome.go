package infra

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a failed operation took effect.
type Outcome int

// The outcomes.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotDone
	OutcomeDone
)

// String returns the name of o.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotDone:
		return "not done"
	case OutcomeDone:
		return "done"
	default:
		return "not known"
	}
}

// Error is an error of a platform service or a backend server. Peer identifies the
// service or server that was called.
type Error struct {
	Outcome   Outcome
	Operation string
	Peer      string
	Cause     error
}

// NewError returns an Error of operation at peer with its outcome and cause.
func NewError(outcome Outcome, operation, peer string, cause error) *Error {
	return &Error{Outcome: outcome, Operation: operation, Peer: peer, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %v", e.Operation, e.Peer, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// OutcomeOf returns the outcome of the Error in err's chain. An error without one,
// such as an exceeded deadline, is OutcomeUnknown; nil is OutcomeDone.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	var outcomeErr *Error
	if errors.As(err, &outcomeErr) {
		return outcomeErr.Outcome
	}
	return OutcomeUnknown
}

// ErrNotFound is the cause of an error about a missing object or version.
var ErrNotFound = errors.New("not found")
