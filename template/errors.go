package template

import (
	"strings"
	"time"

	"github.com/wigeonfork/wigeonfork/problem"
)

// FieldError describes an invalid field of a change. Field is its path, such as
// "deployments.letters.move.deadline". Earliest is set for a deadline that is
// too early. It is the earliest deadline that would be accepted.
type FieldError struct {
	Field    string     `json:"field"`
	Reason   string     `json:"reason"`
	Earliest *time.Time `json:"earliest,omitempty"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// InvalidError lists all invalid fields of a change.
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

// Problem converts e to the typed error that operators receive.
func (e *InvalidError) Problem() *problem.Error {
	return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepConfig, "%s", e.Error()).Because(e)
}

// fieldErrors collects the errors of one validation.
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
