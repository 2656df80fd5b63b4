package ctl

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

const (
	// maxFileBytes limits the size of a file that a command reads.
	maxFileBytes = 16 << 20
	// maxChangeAttempts limits how often a change whose answer was lost is sent.
	maxChangeAttempts = 3
	// changeRetryInterval is the time between two of these attempts.
	changeRetryInterval = 300 * time.Millisecond
)

// change submits a change. If the answer is lost, it sends the same operation id
// again to learn the outcome.
func (s *session) change(base wigeonfork.Revision, change template.Change) (store.AcceptResult, error) {
	request := operator.ChangeRequest{OperationID: uuid.NewString(), Base: base, Change: change}
	var accepted store.AcceptResult
	var err error
	for attempt := 0; attempt < maxChangeAttempts; attempt++ {
		if attempt > 0 {
			time.Sleep(changeRetryInterval)
		}
		err = s.callEntry(operator.MethodChange, request, &accepted)
		if err == nil || !outcomeUnknown(err) {
			return accepted, err
		}
		request.Resent = true
	}
	return accepted, err
}

// outcomeUnknown reports whether a change that failed with err may have been made.
func outcomeUnknown(err error) bool {
	var problemErr *problem.Error
	if errors.As(err, &problemErr) {
		return problemErr.Run == problem.RunUnknown
	}
	return infra.OutcomeOf(err) == infra.OutcomeUnknown
}

// readFile decodes the JSON file at path, or standard input for "-".
func readFile(path string, into any) error {
	in := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	decoder := json.NewDecoder(io.LimitReader(in, maxFileBytes))
	decoder.DisallowUnknownFields()
	return errors.Wrapf(decoder.Decode(into), "read %s", path)
}
