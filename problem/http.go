package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// envelope is the JSON body that carries an Error.
type envelope struct {
	Error             *Error  `json:"error"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// Marshal returns the JSON body for e.
func Marshal(e *Error) []byte {
	body, err := json.Marshal(envelope{Error: e, RetryAfterSeconds: e.RetryAfter.Seconds()})
	if err != nil {
		return []byte(`{"error":{"code":"internal","run":"unknown"}}`)
	}
	return body
}

// Unmarshal returns the Error in a JSON body, or nil if there is none. The Error has no cause.
func Unmarshal(body []byte) *Error {
	var in envelope
	if json.Unmarshal(body, &in) != nil || in.Error == nil {
		return nil
	}
	in.Error.RetryAfter = time.Duration(in.RetryAfterSeconds * float64(time.Second))
	return in.Error
}

// Write writes e as the response to an HTTP request.
func Write(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	// A write error can't be reported, since the caller has disconnected.
	_, _ = w.Write(Marshal(e))
}
