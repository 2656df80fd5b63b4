package command

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Attach streams the frames of a generation from the position asked for.
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
	g.stream(w, r, s, wigeonfork.Position(from))
}

// Call answers with the call that began a generation, so that another entry
// can go on with it elsewhere.
func (g *Generations) Call(w http.ResponseWriter, r *http.Request) {
	s, err := g.find(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The entry may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(&s.Call)
}

// Release shortens the life of a generation that nobody reads.
func (g *Generations) Release(w http.ResponseWriter, r *http.Request) {
	s, err := g.find(r)
	if err != nil {
		problem.Write(w, err)
		return
	}
	linger, _ := strconv.ParseInt(r.URL.Query().Get("linger_ms"), 10, 64)
	s.Release(time.Duration(max(linger, 0)) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
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

// writer sends the frames of one reader.
type writer struct {
	out   *httpserver.StreamWriter
	frame frame.Frame
	buf   []byte
	// sent is the time of the last flush.
	sent time.Time
}

// writeTimeout bounds one write to an entry.
const writeTimeout = 5 * time.Second

func (w *writer) send() error {
	w.buf = frame.Append(w.buf[:0], &w.frame)
	_, err := w.out.Write(w.buf)
	return err
}

func (w *writer) flush() error {
	w.sent = time.Now()
	return w.out.Flush()
}

// untilHeartbeat returns how long the stream may stay silent from now on.
func (w *writer) untilHeartbeat(now time.Time) time.Duration {
	return agentapi.HeartbeatInterval - now.Sub(w.sent)
}

// heartbeat sends a heartbeat if the stream has been silent for the interval.
// It returns the time to the next look.
func (w *writer) heartbeat(s *session.Session) (time.Duration, error) {
	if wait := w.untilHeartbeat(time.Now()); wait > 0 {
		return wait, nil
	}
	s.Heartbeat(&w.frame)
	if err := w.send(); err != nil {
		return 0, err
	}
	return agentapi.HeartbeatInterval, w.flush()
}

// stream sends the frames of s from position from on until the generation ends
// or the entry goes away.
func (g *Generations) stream(out http.ResponseWriter, r *http.Request, s *session.Session, from wigeonfork.Position) {
	reader, wake := s.Attach()
	defer func() { s.Detach(reader, time.Now()) }()
	out.Header().Set("Content-Type", "application/octet-stream")
	out.WriteHeader(http.StatusOK)
	w := &writer{out: httpserver.NewStreamWriter(out, writeTimeout)}
	// The head tells the entry that the agent is reached, before any token.
	if w.flush() != nil {
		return
	}
	heartbeat := time.NewTimer(agentapi.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		ended, err := w.sendAvailable(s, reader, &from)
		if err != nil || ended {
			return
		}
		select {
		case <-wake:
		case <-heartbeat.C:
			next, err := w.heartbeat(s)
			if err != nil {
				return
			}
			heartbeat.Reset(next)
		case <-r.Context().Done():
			return
		}
	}
}

// sendAvailable sends all that is new and reports whether that was the end.
func (w *writer) sendAvailable(s *session.Session, reader uint64, from *wigeonfork.Position) (bool, error) {
	sent := false
	for s.Next(reader, *from, &w.frame) {
		if err := w.send(); err != nil {
			return false, err
		}
		sent = true
		*from += wigeonfork.Position(len(w.frame.Tokens))
		if w.frame.Kind != frame.KindTokens {
			return true, w.flush()
		}
	}
	if !sent {
		return false, nil
	}
	return false, w.flush()
}
