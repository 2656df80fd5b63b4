package template

import (
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/problem"
)

// FieldError tells what is wrong with one field of a change. Field is the
// path of the field, such as "deployments.letters.move.deadline". Earliest is
// set where a later deadline would be accepted.
type FieldError struct {
	Field    string     `json:"field"`
	Reason   string     `json:"reason"`
	Earliest *time.Time `json:"earliest,omitempty"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// InvalidError lists everything that is wrong with a change.
type InvalidError struct {
	Fields []FieldError `json:"fields"`
}

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		texts[i] = field.Error()
	}
	return strings.Join(texts, "; ")
}

// Problem returns e as the typed error that operators receive.
func (e *InvalidError) Problem() *problem.Error {
	return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepConfig, "%s", e.Error()).Because(e)
}

// fieldErrors collects field errors.
type fieldErrors struct {
	fields []FieldError
}

func (f *fieldErrors) add(field, reason string) {
	f.fields = append(f.fields, FieldError{Field: field, Reason: reason})
}

func (f *fieldErrors) err() error {
	if len(f.fields) == 0 {
		return nil
	}
	return &InvalidError{Fields: f.fields}
}
