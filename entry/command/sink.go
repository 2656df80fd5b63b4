package command

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/problem"
)

// callerWriteTimeout bounds one write to a caller. A caller that reads nothing for so long counts
// as disconnected.
const callerWriteTimeout = 20 * time.Second

// responseFormat is the form in which the caller wants the answer, and its deadline.
type responseFormat struct {
	chat   bool
	stream bool
	// deadline is zero if the caller sets none.
	deadline time.Time
}

func newSink(w http.ResponseWriter, answer *session.Answer, format responseFormat) sink {
	body := bodyWriter{
		id:      string(answer.Call.RequestID),
		model:   string(answer.Call.Model),
		created: answer.StartedAt.Unix(),
		chat:    format.chat,
	}
	if format.stream {
		return &eventSink{out: w, stream: httpserver.NewStreamWriter(w, callerWriteTimeout), body: body}
	}
	return &bufferedSink{out: w, body: body}
}

// eventSink writes an answer as server-sent events.
type eventSink struct {
	out           http.ResponseWriter
	stream        *httpserver.StreamWriter
	body          bodyWriter
	handle        string
	headerWritten bool
	buf           []byte
}

func (s *eventSink) setHandle(handle string) { s.handle = handle }

func (s *eventSink) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	header := s.out.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.out.WriteHeader(http.StatusOK)
}

func (s *eventSink) deliver(text []byte, next wigeonfork.Position) error {
	s.writeHeader()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = generation.AppendEventID(s.buf, s.handle, next)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = s.body.appendChunk(s.buf, text)
	s.buf = append(s.buf, "\n\n"...)
	return s.write()
}

func (s *eventSink) finish(r *generation.Relay) error {
	s.writeHeader()
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = s.body.appendFinalChunk(s.buf, r)
	s.buf = append(s.buf, "\n\ndata: [DONE]\n\n"...)
	return s.write()
}

// fail sends err as the HTTP response if nothing has been written yet, and as an event otherwise.
func (s *eventSink) fail(err *problem.Error) {
	if !s.headerWritten {
		problem.Write(s.out, err)
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, problem.Marshal(err)...)
	s.buf = append(s.buf, "\n\n"...)
	// A write error means that the caller disconnected.
	_ = s.write()
}

func (s *eventSink) handOver(next wigeonfork.Position) bool {
	if s.handle == "" {
		return false
	}
	s.writeHeader()
	s.buf = append(s.buf[:0], "event: resume\nid: "...)
	s.buf = generation.AppendEventID(s.buf, s.handle, next)
	s.buf = append(s.buf, "\ndata: {}\n\n"...)
	// A caller that disconnected resumes after the last event that it received.
	_ = s.write()
	return true
}

func (s *eventSink) write() error {
	if _, err := s.stream.Write(s.buf); err != nil {
		return err
	}
	return s.stream.Flush()
}

// bufferedSink writes an answer as one JSON body.
type bufferedSink struct {
	out  http.ResponseWriter
	body bodyWriter
	text []byte
}

func (s *bufferedSink) setHandle(string) {}

func (s *bufferedSink) deliver(text []byte, _ wigeonfork.Position) error {
	s.text = append(s.text, text...)
	return nil
}

func (s *bufferedSink) finish(r *generation.Relay) error {
	s.out.Header().Set("Content-Type", "application/json")
	_, err := s.out.Write(s.body.appendResponse(nil, s.text, r))
	return err
}

func (s *bufferedSink) fail(err *problem.Error) { problem.Write(s.out, err) }

// handOver implements sink. A response in one body has no event ID from which the caller could
// resume.
func (s *bufferedSink) handOver(wigeonfork.Position) bool { return false }

// bodyWriter encodes the JSON objects of the caller API.
type bodyWriter struct {
	id      string
	model   string
	created int64
	chat    bool
}

func (b *bodyWriter) appendCommonFields(buf []byte, object string) []byte {
	buf = append(buf, `{"id":`...)
	buf = appendJSONString(buf, []byte(b.id))
	buf = append(buf, `,"object":"`...)
	buf = append(buf, object...)
	buf = append(buf, `","created":`...)
	buf = strconv.AppendInt(buf, b.created, 10)
	buf = append(buf, `,"model":`...)
	return appendJSONString(buf, []byte(b.model))
}

func (b *bodyWriter) object(chunk bool) string {
	switch {
	case b.chat && chunk:
		return "chat.completion.chunk"
	case b.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (b *bodyWriter) appendChunk(buf, text []byte) []byte {
	buf = b.appendCommonFields(buf, b.object(true))
	if b.chat {
		buf = append(buf, `,"choices":[{"index":0,"delta":{"content":`...)
		buf = appendJSONString(buf, text)
		return append(buf, `},"finish_reason":null}]}`...)
	}
	buf = append(buf, `,"choices":[{"index":0,"text":`...)
	buf = appendJSONString(buf, text)
	return append(buf, `,"finish_reason":null}]}`...)
}

func (b *bodyWriter) appendFinalChunk(buf []byte, r *generation.Relay) []byte {
	buf = b.appendCommonFields(buf, b.object(true))
	if b.chat {
		buf = append(buf, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	} else {
		buf = append(buf, `,"choices":[{"index":0,"text":"","finish_reason":`...)
	}
	buf = appendStopReason(buf, r.StopReason())
	buf = append(buf, `}]`...)
	return appendUsage(buf, r)
}

func (b *bodyWriter) appendResponse(buf, text []byte, r *generation.Relay) []byte {
	buf = b.appendCommonFields(buf, b.object(false))
	if b.chat {
		buf = append(buf, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
		buf = appendJSONString(buf, text)
		buf = append(buf, '}')
	} else {
		buf = append(buf, `,"choices":[{"index":0,"text":`...)
		buf = appendJSONString(buf, text)
	}
	buf = append(buf, `,"finish_reason":`...)
	buf = appendStopReason(buf, r.StopReason())
	buf = append(buf, `}]`...)
	return appendUsage(buf, r)
}

func appendStopReason(buf []byte, stop backend.StopReason) []byte {
	return appendJSONString(buf, []byte(stop))
}

// appendUsage appends the token counts of the complete answer, including tokens from before a
// resume.
func appendUsage(buf []byte, r *generation.Relay) []byte {
	prompt, cached, answer := r.Usage()
	buf = append(buf, `,"usage":{"prompt_tokens":`...)
	buf = strconv.AppendUint(buf, uint64(prompt), 10)
	buf = append(buf, `,"completion_tokens":`...)
	buf = strconv.AppendUint(buf, uint64(answer), 10)
	buf = append(buf, `,"total_tokens":`...)
	buf = strconv.AppendUint(buf, uint64(prompt)+uint64(answer), 10)
	buf = append(buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	buf = strconv.AppendUint(buf, uint64(cached), 10)
	return append(buf, `}}}`...)
}
