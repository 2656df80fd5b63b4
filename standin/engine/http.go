package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
)

const (
	maxRequestBytes = 64 << 20
	// flushBytes is the buffer size at which events are flushed while more tokens are available.
	flushBytes = 2 << 10
)

// Handler returns the HTTP interface of s.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpbackend.PathCompletions, s.serveCompletion)
	mux.HandleFunc("GET "+httpbackend.PathStreams+"{id}", s.serveResume)
	mux.HandleFunc("DELETE "+httpbackend.PathStreams+"{id}", s.serveCancel)
	mux.HandleFunc("GET "+httpbackend.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+httpbackend.PathCacheEvents, s.serveCacheEvents)
	mux.HandleFunc("POST "+httpbackend.PathOrders, s.serveOrder)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req httpbackend.CompletionRequest
	if err := decodeBody(w, r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	st, refused := s.accept(req)
	if refused != nil {
		http.Error(w, refused.err.Error(), refused.status)
		return
	}
	s.writeStream(w, r, st, st.from())
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 32)
	if err != nil {
		http.Error(w, "bad position", http.StatusBadRequest)
		return
	}
	st := s.find(r.PathValue("id"))
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if int(from) < st.from() || int(from) > st.answer.length {
		http.Error(w, "position outside of the stream", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	s.writeStream(w, r, st, int(from))
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	st := s.find(r.PathValue("id"))
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(st)
}

// writeStream sends the tokens of st from position on until st ends or the client disconnects.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, position int) {
	wake := st.attach()
	defer func() {
		st.detach(wake, s.options.Load().BufferFor, func() { s.abandon(st) })
	}()
	out := newEventWriter(w)
	for {
		seen := st.snapshot()
		for position < seen.until {
			next := min(position+s.options.Load().chunkTokens(), seen.until)
			if out.tokens(st, position, next) != nil {
				return
			}
			position = next
		}
		switch seen.end {
		case RunOpen:
		case RunFinished:
			out.end(seen)
			return
		case RunKilled:
			panic(http.ErrAbortHandler)
		default:
			out.failure(seen.message)
			return
		}
		if out.flush() != nil {
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter writes the events of one stream.
type eventWriter struct {
	out     http.ResponseWriter
	control *http.ResponseController
	buffer  bytes.Buffer
	encoder *json.Encoder
}

func newEventWriter(out http.ResponseWriter) *eventWriter {
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Cache-Control", "no-store")
	w := &eventWriter{out: out, control: http.NewResponseController(out)}
	w.encoder = json.NewEncoder(&w.buffer)
	return w
}

func (w *eventWriter) event(chunk httpbackend.CompletionChunk) error {
	w.buffer.WriteString("data: ")
	if err := w.encoder.Encode(chunk); err != nil {
		return errors.Wrap(err, "encode")
	}
	w.buffer.WriteByte('\n')
	if w.buffer.Len() < flushBytes {
		return nil
	}
	return w.flush()
}

func (w *eventWriter) tokens(st *stream, from, until int) error {
	chunk := httpbackend.CompletionChunk{Position: wigeonfork.Position(from)}
	chunk.Tokens = make([]backend.Token, 0, until-from)
	for i := from; i < until; i++ {
		chunk.Tokens = append(chunk.Tokens, st.answer.token(i))
	}
	return w.event(chunk)
}

func (w *eventWriter) end(p progress) {
	usage := httpbackend.Usage{
		PromptTokens: p.promptTokens, CachedTokens: p.cachedTokens, CompletionTokens: uint32(p.until),
	}
	chunk := httpbackend.CompletionChunk{Position: wigeonfork.Position(p.until), FinishReason: p.stop, Usage: &usage}
	if w.event(chunk) == nil {
		w.buffer.WriteString("data: [DONE]\n\n")
		_ = w.flush()
	}
}

func (w *eventWriter) failure(message string) {
	chunk := httpbackend.CompletionChunk{Error: &httpbackend.StreamFailure{Message: message}}
	if w.event(chunk) == nil {
		_ = w.flush()
	}
}

func (w *eventWriter) flush() error {
	_, err := w.buffer.WriteTo(w.out)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	return w.control.Flush()
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
}
