package store

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// ConflictError is returned if another change of the same template or deployment
// was accepted after the request's base revision. Winner is that change, and
// Changes lists the fields that it set.
type ConflictError struct {
	Winner  LogEntry
	Changes []Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Changes))
	for i := range e.Changes {
		texts[i] = e.Changes[i].String()
	}
	return fmt.Sprintf("%s changed it at revision %d (%s): %s",
		e.Winner.Author, e.Winner.Revision, e.Winner.At.UTC().Format(time.RFC3339), strings.Join(texts, "; "))
}

// Problem converts e to the typed error that operators receive.
func (e *ConflictError) Problem() *problem.Error {
	return problem.New(problem.CodeConflict, problem.RunNot, problem.StepConfig, "%s", e.Error()).Because(e)
}

const storeRetryAfter = 2 * time.Second

// peerOf returns the service that failed with err, or "" if unknown.
func peerOf(err error) string {
	var infraErr *infra.Error
	if errors.As(err, &infraErr) {
		return infraErr.Peer
	}
	return ""
}

// notMadeError reports that a change was not made.
func notMadeError(err error) *problem.Error {
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepConfig, "the change was not made").
		At(peerOf(err)).After(storeRetryAfter).Because(err)
}

// outcomeUnknownError reports that a change may have been made. The request can
// be sent again with the same operation ID.
func outcomeUnknownError(id string, err error) *problem.Error {
	return problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepConfig,
		"whether the change was made is not known; send operation %s again", id).
		At(peerOf(err)).After(storeRetryAfter).Because(err)
}

// commitError converts the error of a failed transaction.
func commitError(id string, err error) error {
	if infra.OutcomeOf(err) == infra.OutcomeNotDone {
		return notMadeError(err)
	}
	return outcomeUnknownError(id, err)
}
