package gateway

import (
	"net/http"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/routing"
)

// CallerRequest is what the headers of a caller's request say to the system.
type CallerRequest struct {
	ID wigeonfork.RequestID
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Key is the caller's API key.
	Key string
	// LastEvent is the id of the last event that the caller holds of an answer
	// that it takes up again; 0 is none.
	LastEvent uint64
	// Prompt describes the prompt of a model request.
	Prompt Prompt
}

// Prompt is what a request says of its size.
type Prompt struct {
	Tokens uint32
	// MaxOutput bounds the tokens of the answer, LengthHint is the caller's guess.
	MaxOutput  uint32
	LengthHint uint32
	// Prefixes are the prompt's prefixes, shortest first.
	Prefixes []routing.Prefix
}

// Attempt is what the system tells the backend server that a request is sent to.
type Attempt struct {
	Server    wigeonfork.BackendServerID
	Workspace wigeonfork.Workspace
	// Remaining is how long the caller still waits; 0 is not told.
	Remaining time.Duration
	// Urgent requests are admitted before others.
	Urgent bool
	// LastEvent is the id of the last event that was delivered; 0 is none.
	LastEvent uint64
	// BackupAddress is the server that keeps a copy of the run's memory.
	BackupAddress string
	// ContinueAddress is the server that holds the memory from which the run goes
	// on, and ContinueRun the request whose memory it is.
	ContinueAddress string
	ContinueRun     wigeonfork.RequestID
}

// Load is what a backend server says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is what the head of a backend server's answer says to the system.
type Reply struct {
	// NotRun states that the server did not and will not run the request.
	NotRun bool
	// Request is the id of the request that is answered.
	Request wigeonfork.RequestID
	// Server is the id of the server that answers, if it tells it.
	Server wigeonfork.BackendServerID
	// Load is nil if the server does not tell it.
	Load *Load
}

// EngineReport is what a model engine says of itself.
type EngineReport struct {
	// Engine tells that a model engine answers.
	Engine bool
	// Born tells the starts of a server apart; 0 if it does not say.
	Born int64
}

// Codec translates between headers on the wire and the gateway.
type Codec interface {
	// ParseCaller reads a caller's headers. It fails on a malformed one, naming it.
	ParseCaller(h http.Header) (CallerRequest, error)
	// AttemptHeaders makes the headers of a request to a backend server out of those of
	// the caller. Nothing that only the system may set is taken over.
	AttemptHeaders(from http.Header, a *Attempt) http.Header
	// ParseReply reads the head of a backend server's answer.
	ParseReply(status int, h http.Header) Reply
	// CopyAnswerHeaders copies the headers of a backend server's answer that callers get.
	CopyAnswerHeaders(to, from http.Header)
	// ReportTarget is where a model engine reports on itself; ReadReport reads the
	// answer. A server that is none is no error.
	ReportTarget() string
	ReadReport(status int, body []byte) (EngineReport, error)
	// CacheTarget is where an engine tells which prompts it keeps; ReadCache reads
	// the answer.
	CacheTarget() string
	ReadCache(body []byte) ([]backend.CacheEvent, error)
}
