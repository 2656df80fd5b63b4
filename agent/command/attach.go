package command

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Attach streams the frames of a generation from the requested position.
func (g *Generations) Attach(w http.ResponseWriter, r *http.Request) {
	s, err := g.find(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	from, parseErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 32)
	if parseErr != nil {
		problem.Write(w, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepResume, "malformed position"))
		return
	}
	if !s.MayAttach(readerNumber(r)) {
		problem.Write(w, displacedError(s))
		return
	}
	g.stream(w, r, s, wigeonfork.Position(from))
}

// Call responds with the call that began a generation, so that another entry can
// continue the answer on another agent.
func (g *Generations) Call(w http.ResponseWriter, r *http.Request) {
	s, err := g.find(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the entry has disconnected.
	_ = json.NewEncoder(w).Encode(&s.Call)
}

// Release sets how long a generation runs without a reader to linger_ms, if that is
// shorter than its limit so far.
func (g *Generations) Release(w http.ResponseWriter, r *http.Request) {
	s, err := g.find(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	if !s.MayAttach(readerNumber(r)) {
		problem.Write(w, displacedError(s))
		return
	}
	linger, _ := strconv.ParseInt(r.URL.Query().Get("linger_ms"), 10, 64)
	s.Release(time.Duration(max(linger, 0)) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// readerNumber returns the reader number in the request's header, which the entry
// received with an earlier stream. It is AnyReader if there is none.
func readerNumber(r *http.Request) uint64 {
	number, err := strconv.ParseUint(r.Header.Get(agentapi.HeaderReader), 10, 64)
	if err != nil {
		return session.AnyReader
	}
	return number
}

func displacedError(s *session.Session) *problem.Error {
	return problem.New(problem.CodeConflict, problem.RunUnknown, problem.StepResume, "another entry reads generation %d", s.Key.Generation).For(s.Key.RequestID)
}

func (g *Generations) find(r *http.Request) (*session.Session, *problem.Error) {
	number, err := strconv.ParseUint(r.PathValue("generation"), 10, 32)
	if err != nil {
		return nil, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepResume, "malformed generation")
	}
	key := session.Key{RequestID: wigeonfork.RequestID(r.PathValue("request")), Generation: wigeonfork.Generation(number)}
	if s := g.Table.Get(key); s != nil {
		return s, nil
	}
	return nil, problem.New(problem.CodeNotFound, problem.RunUnknown, problem.StepResume, "generation is not held here").For(key.RequestID)
}

// stream sends the frames of s starting at position from. It returns when the
// generation ends, the entry disconnects or another reader displaces this one.
func (g *Generations) stream(out http.ResponseWriter, r *http.Request, s *session.Session, from wigeonfork.Position) {
	out.Header().Set("Content-Type", "application/octet-stream")
	newReader(out, s, from, g.Load, writeTimeout).serve(r.Context())
}
