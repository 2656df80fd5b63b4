// Package problem defines the typed errors that callers, peers and operators receive. Each one
// states whether the request was run, the step and the peer at which it arose, and when a retry
// is worthwhile.
package problem

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
)

// Code identifies the kind of an error. Codes are part of the callers' interface.
type Code string

// The codes that callers can receive.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "not_found"
	CodeUnknownWorkspace Code = "unknown_workspace"
	CodeUnknownModel     Code = "unknown_model"
	CodeTooLarge         Code = "too_large"
	CodeHeaderTooLarge   Code = "header_too_large"
	CodeKeyReused        Code = "key_reused"  // the idempotency key belongs to another request
	CodeKeyExpired       Code = "key_expired" // the outcome of that key is no longer kept
	CodeConflict         Code = "conflict"
	CodeOverloaded       Code = "overloaded"
	CodeTooLate          Code = "too_late"
	CodeDraining         Code = "draining"
	CodeQuarantined      Code = "quarantined" // the request crashed engines repeatedly
	CodeStoreUnavailable Code = "store_unavailable"
	CodeNoBackend        Code = "no_backend_server"
	CodeNoMemory         Code = "no_memory" // the process has no room for the request
	CodeBackendFailed    Code = "backend_failed"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInterrupted      Code = "interrupted"
	CodeStaleOrder       Code = "stale_order" // the order has an outdated fencing number
	CodeInternal         Code = "internal"
)

// RunState states whether the request was run on a backend server.
type RunState string

// The run states. RunNot is only used where it is certain.
const (
	RunNot     RunState = "not_run"
	RunDone    RunState = "run"
	RunUnknown RunState = "unknown"
)

// Step is the processing step at which an error arose.
type Step string

// The steps of a request, and those of an operator's change from StepConfig on.
const (
	StepAccept   Step = "accept"
	StepAdmit    Step = "admit"
	StepClaim    Step = "claim" // an action is claimed for one agent
	StepRoute    Step = "route"
	StepDispatch Step = "dispatch"
	StepRelay    Step = "relay"
	StepResume   Step = "resume"
	StepOutcome  Step = "outcome" // the outcome of an action is recorded or read
	StepDrain    Step = "drain"
	StepConfig   Step = "configuration"
	StepLease    Step = "lease"
	StepOrder    Step = "order" // an order of a move is checked or sent
	StepMove     Step = "move"
)

// Error is a typed error. A zero RetryAfter means that a retry is not worthwhile.
type Error struct {
	Code       Code                 `json:"code"`
	Run        RunState             `json:"run"`
	Step       Step                 `json:"step"`
	Peer       string               `json:"peer,omitempty"`
	RequestID  wigeonfork.RequestID `json:"request_id,omitempty"`
	Message    string               `json:"message"`
	RetryAfter time.Duration        `json:"-"`
	cause      error
}

// New returns an error with a message formatted as by fmt.Sprintf.
func New(code Code, run RunState, step Step, format string, args ...any) *Error {
	return &Error{Code: code, Run: run, Step: step, Message: fmt.Sprintf(format, args...)}
}

// At sets the peer at which e arose and returns e.
func (e *Error) At(peer string) *Error {
	e.Peer = peer
	return e
}

// For sets the request that e concerns and returns e.
func (e *Error) For(id wigeonfork.RequestID) *Error {
	e.RequestID = id
	return e
}

// After sets the delay after which a retry is worthwhile and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Because sets the underlying error and returns e.
func (e *Error) Because(err error) *Error {
	e.cause = err
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
	if e.Peer != "" {
		text += " at " + e.Peer
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the underlying error or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the typed error inside err, or an internal error at step whose
// run state is unknown.
func From(err error, step Step) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(CodeInternal, RunUnknown, step, "internal error").Because(err)
}

var statusByCode = map[Code]int{
	CodeInvalidRequest:   http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeNotFound:         http.StatusNotFound,
	CodeUnknownWorkspace: http.StatusNotFound,
	CodeUnknownModel:     http.StatusNotFound,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeHeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	CodeKeyReused:        http.StatusUnprocessableEntity,
	CodeKeyExpired:       http.StatusGone,
	CodeConflict:         http.StatusConflict,
	CodeOverloaded:       http.StatusTooManyRequests,
	CodeTooLate:          http.StatusGatewayTimeout,
	CodeDraining:         http.StatusServiceUnavailable,
	CodeQuarantined:      http.StatusUnprocessableEntity,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeNoBackend:        http.StatusServiceUnavailable,
	CodeNoMemory:         http.StatusServiceUnavailable,
	CodeBackendFailed:    http.StatusBadGateway,
	CodeOutcomeUnknown:   http.StatusConflict,
	CodeInterrupted:      http.StatusBadGateway,
	CodeStaleOrder:       http.StatusConflict,
}

// Status returns the HTTP status code for e.
func (e *Error) Status() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
