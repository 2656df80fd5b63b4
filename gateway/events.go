package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/memquota"
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
	// hold counts the buffer. Its first freeEventBytes are part of what each stream needs.
	hold *memquota.Hold
}

// freeEventBytes is the part of an event that is not counted, in bytes.
const freeEventBytes = 4 << 10

var idField = []byte("id:")

// errNoField means that a line of an event stream is neither a field nor a comment, so that the bytes are none of a stream.
var errNoField = errors.New("a line of the stream is no field")

// isField reports whether a line of an event is a field or a comment. All servers give each field a value.
func isField(line []byte) bool { return bytes.IndexByte(line, ':') >= 0 }

func newEventReader(body io.Reader, hold *memquota.Hold) *eventReader {
	return &eventReader{in: bufio.NewReader(body), hold: hold}
}

// add appends a part of an event. It returns memquota.ErrTooLarge beyond maxEventBytes, and memquota.ErrExceeded if there
// is no room for a larger buffer.
func (e *eventReader) add(part []byte) error {
	size := len(e.buf) + len(part)
	if size > maxEventBytes {
		return errors.Wrap(memquota.ErrTooLarge, "event")
	}
	if size > cap(e.buf) {
		larger := max(size, 2*cap(e.buf))
		if larger > freeEventBytes {
			if err := e.hold.Grow(int64(larger)); err != nil {
				return errors.Wrap(err, "event")
			}
		}
		e.buf = append(make([]byte, 0, larger), e.buf...)
	}
	e.buf = append(e.buf, part...)
	return nil
}

// next returns the next complete event. It returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (streamEvent, error) {
	e.buf = e.buf[:0]
	event := streamEvent{Comment: true}
	for {
		line, err := e.in.ReadSlice('\n')
		if err := e.add(line); err != nil {
			return event, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
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
		if !isField(line) {
			return event, errNoField
		}
		event.Comment = event.Comment && line[0] == ':'
		if id, ok := bytes.CutPrefix(line, idField); ok {
			if event.ID, err = strconv.ParseUint(string(bytes.TrimSpace(id)), 10, 64); err != nil {
				return event, errors.Wrap(err, "parse event id")
			}
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
