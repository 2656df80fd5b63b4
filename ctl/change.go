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
	// maxFileBytes bounds a file that a verb reads.
	maxFileBytes = 16 << 20
	// changeAttempts bounds how often a change whose answer was lost is sent.
	changeAttempts = 3
	// changePause is the time between two of them.
	changePause = 300 * time.Millisecond
)

// change has a change accepted. An answer that was lost is cleared up by
// sending the same operation again.
func (s *session) change(base wigeonfork.Revision, change template.Change) (store.AcceptResult, error) {
	request := operator.ChangeRequest{OperationID: uuid.NewString(), Base: base, Change: change}
	var accepted store.AcceptResult
	var err error
	for attempt := 0; attempt < changeAttempts; attempt++ {
		if attempt > 0 {
			time.Sleep(changePause)
		}
		err = s.ask(operator.MethodChange, request, &accepted)
		if err == nil || !unsettled(err) {
			return accepted, err
		}
		request.Resent = true
	}
	return accepted, err
}

// unsettled reports whether it is not known if a change was made.
func unsettled(err error) bool {
	var typed *problem.Error
	if errors.As(err, &typed) {
		return typed.Run == problem.RunUnknown
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
