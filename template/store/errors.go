package store

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// ConflictError tells that another change of the same template or deployment
// was accepted first, by whom and with what.
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

// Problem returns e as the typed error that operators receive.
func (e *ConflictError) Problem() *problem.Error {
	return problem.New(problem.CodeConflict, problem.RunNot, problem.StepConfig, "%s", e.Error()).Because(e)
}

const storeRetryAfter = 2 * time.Second

// peerOf returns the service at which err arose, empty if it does not say.
func peerOf(err error) string {
	var infraErr *infra.Error
	if errors.As(err, &infraErr) {
		return infraErr.Peer
	}
	return ""
}

// notMadeError is the error of a change that was certainly not made.
func notMadeError(err error) *problem.Error {
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepConfig, "the change was not made").
		At(peerOf(err)).After(storeRetryAfter).Because(err)
}

// outcomeUnknownError is the error of a change of which it is not known whether it was
// made. The same operation id can be sent again.
func outcomeUnknownError(id string, err error) *problem.Error {
	return problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepConfig,
		"whether the change was made is not known; send operation %s again", id).
		At(peerOf(err)).After(storeRetryAfter).Because(err)
}

// commitError returns the error of a transaction that failed.
func commitError(id string, err error) error {
	if infra.OutcomeOf(err) == infra.OutcomeNotDone {
		return notMadeError(err)
	}
	return outcomeUnknownError(id, err)
}
