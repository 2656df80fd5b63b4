package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// streamEvent is one event of a stream, with its bytes unchanged. Raw is valid until
// the next read. ID is 0 if the event has none. Comment is set if it has no field at all, as what some
// servers send to keep a connection open.
type streamEvent struct {
	ID      uint64
	Raw     []byte
	Comment bool
}

// eventReader splits a stream into events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

var idField = []byte("id:")

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReader(body)}
}

// next returns the next complete event. It returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (streamEvent, error) {
	e.buf = e.buf[:0]
	event := streamEvent{Comment: true}
	for {
		line, err := e.in.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > maxEventBytes {
				return event, errors.New("event is too large")
			}
			continue
		case err == io.EOF && len(e.buf) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		line = bytes.TrimRight(lastLine(e.buf), "\r\n")
		if len(line) == 0 {
			event.Raw = e.buf
			return event, nil
		}
		event.Comment = event.Comment && line[0] == ':'
		if id, ok := bytes.CutPrefix(line, idField); ok {
			if event.ID, err = strconv.ParseUint(string(bytes.TrimSpace(id)), 10, 64); err != nil {
				return event, errors.Wrap(err, "parse event id")
			}
		}
		if len(e.buf) > maxEventBytes {
			return event, errors.New("event is too large")
		}
	}
}

// lastLine returns the last line of buf, which ends with a line feed.
func lastLine(buf []byte) []byte {
	if i := bytes.LastIndexByte(buf[:len(buf)-1], '\n'); i >= 0 {
		return buf[i+1:]
	}
	return buf
}
