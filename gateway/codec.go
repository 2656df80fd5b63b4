package gateway

import (
	"net/http"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/serverlimit"
)

// CallerRequest holds what the system reads from the headers of a caller's request.
type CallerRequest struct {
	ID wigeonfork.RequestID
	// Deadline is how long the caller waits; 0 if it is not set.
	Deadline time.Duration
	// Key is the caller's API key.
	Key string
	// LastEvent is the id of the last event that the caller received of the stream
	// that it resumes; 0 if it resumes none.
	LastEvent uint64
	// Prompt describes the prompt of a model request.
	Prompt Prompt
}

// Prompt describes the prompt and the length of the answer of a model request, as
// declared by the caller.
type Prompt struct {
	// Tokens is the length of the prompt in tokens.
	Tokens uint32
	// MaxOutput bounds the tokens of the answer. LengthHint is the caller's estimate
	// of them; 0 if there is none.
	MaxOutput  uint32
	LengthHint uint32
	// Prefixes are the prompt's prefixes, shortest first.
	Prefixes []routing.Prefix
}

// Attempt holds what the system adds to a request when it sends it to a backend
// server.
type Attempt struct {
	Server    wigeonfork.BackendServerID
	Workspace wigeonfork.Workspace
	// Remaining is the time until the caller's deadline; 0 if it set none.
	Remaining time.Duration
	// Ranks is the number of ranks that requests for the service may have. Rank is that of
	// this one.
	Ranks int
	Rank  wigeonfork.Rank
	// Resume is set if the request goes on after the loss of a backend server.
	Resume bool
	// LastEvent is the id of the last event delivered to the caller; 0 is none.
	LastEvent uint64
	// BackupAddress is the address of the server that keeps a copy of the run's KV
	// cache; empty if there is none.
	BackupAddress string
	// ContinueAddress is the address of the server that holds the KV cache from which
	// the run resumes; empty if there is none. For a copy that was moved it is the address of
	// the server that made the copy. ContinueHandle is the id of the request that the cache
	// belongs to, or the handle of the moved copy.
	ContinueAddress string
	ContinueHandle  string
}

// Load is a backend server's load report. It counts the requests that run, the
// requests that wait, and how many can run at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the present duration of work at the server divided by its usual duration; 0 if the server does not
	// report it.
	Slowdown float64
}

// Reply holds what the system reads from the head of a backend server's answer.
type Reply struct {
	// NotRun says that the server did not and will not run the request.
	NotRun bool
	// Misdirected says that the request was for another server than the answering one.
	Misdirected bool
	// Request is the id of the request that is answered.
	Request wigeonfork.RequestID
	// Signed says that the answer bears the signature of one server.
	Signed bool
	// Encoded says that the body has a content encoding. Callers ask for none, so it is not what a server made.
	Encoded bool
	// Server is the id of the answering server; empty if it is not given.
	Server wigeonfork.BackendServerID
	// Load is nil if the server does not report it.
	Load *Load
	// Limit is what the answer says about the server's limit on requests. MalformedLimit is the text of one
	// that can't be read, or empty.
	Limit          serverlimit.Statement
	MalformedLimit string
	// Pause is the time for which the server, which has refused the request, wants nothing from this entry; 0 for
	// none. MalformedPause is the text of one that can't be read, or empty.
	Pause          time.Duration
	MalformedPause string
	// Leaving says that the server leaves: it wants no more requests. MalformedLeaving is the text of a
	// statement that can't be read, or empty.
	Leaving          bool
	MalformedLeaving string
}

// EngineReport is a model engine's report on itself.
type EngineReport struct {
	// Engine says that a model engine answered.
	Engine bool
	// Born identifies the incarnation of the server; 0 if it is not reported.
	Born int64
}

// Codec translates between the wire format of a deployment and the gateway's types.
type Codec interface {
	// ParseCaller parses a caller's headers. The error names the malformed one.
	ParseCaller(h http.Header) (CallerRequest, error)
	// AttemptHeaders returns the headers of a request to a backend server, based on
	// those of the caller. Headers that only the system may set are not copied.
	AttemptHeaders(from http.Header, a *Attempt) http.Header
	// ParseReply parses the head of a backend server's answer.
	ParseReply(status int, h http.Header) Reply
	// CopyAnswerHeaders copies those headers of a backend server's answer that
	// callers receive.
	CopyAnswerHeaders(to, from http.Header)
	// ReportTarget returns the request target of a model engine's report. ReadReport
	// parses the answer. A status other than 200 is no error; it means that the server
	// is not an engine.
	ReportTarget() string
	ReadReport(status int, body []byte) (EngineReport, error)
	// CacheTarget returns the request target at which an engine lists the prompts in
	// its cache. ReadCache parses the answer.
	CacheTarget() string
	ReadCache(body []byte) ([]backend.CacheEvent, error)
	// MoveCopy returns the target and the body of the POST request that asks an engine to copy the KV cache of a run to
	// the engine at an address. ReadCopy parses the answer and returns the handle of the copy, which is not empty. A
	// DELETE request for FreeCopyTarget, sent to the engine that made the copy, frees it.
	MoveCopy(request wigeonfork.RequestID, to string) (target string, body []byte)
	ReadCopy(status int, body []byte) (handle string, err error)
	FreeCopyTarget(handle string) string
}
