package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Reader reads frames from a stream without allocating per frame.
type Reader struct {
	in      *bufio.Reader
	pending int
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, MaxBytes+lengthBytes)}
}

// Reset makes r read from in and drops the state of the previous stream.
func (r *Reader) Reset(in io.Reader) {
	r.in.Reset(in)
	r.pending = 0
}

// Read decodes the next frame into f. It reuses the slices of f, which are valid until the next
// Read. It returns io.EOF if the stream ends between frames, io.ErrUnexpectedEOF if it ends inside
// a frame, and ErrMalformed for invalid data.
func (r *Reader) Read(f *Frame) error {
	if _, err := r.in.Discard(r.pending); err != nil {
		return err
	}
	r.pending = 0
	header, err := r.in.Peek(lengthBytes)
	if err != nil {
		return truncationError(err, len(header))
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > MaxBytes {
		return errors.Wrapf(ErrMalformed, "frame of %d bytes", size)
	}
	data, err := r.in.Peek(lengthBytes + size)
	if err != nil {
		return truncationError(err, len(data))
	}
	r.pending = lengthBytes + size
	return Decode(data[lengthBytes:], f)
}

// Buffered reports whether a complete frame can be read without blocking.
func (r *Reader) Buffered() bool {
	available := r.in.Buffered() - r.pending
	if available < lengthBytes {
		return false
	}
	data, err := r.in.Peek(r.pending + lengthBytes)
	if err != nil {
		return false
	}
	size := int(binary.BigEndian.Uint32(data[r.pending:]))
	return available >= lengthBytes+size
}

func truncationError(err error, have int) error {
	if have > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decode decodes one frame without its length prefix and returns ErrMalformed if it is invalid. The
// slices of f refer to data.
func Decode(data []byte, f *Frame) error {
	*f = Frame{Tokens: f.Tokens[:0]}
	texts := 0
	for len(data) > 0 {
		number, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return ErrMalformed
		}
		data = data[n:]
		switch wireType {
		case protowire.VarintType:
			value, n := protowire.ConsumeVarint(data)
			if n < 0 || value > math.MaxUint32 {
				return ErrMalformed
			}
			data = data[n:]
			f.setNumber(number, uint32(value))
		case protowire.BytesType:
			value, n := protowire.ConsumeBytes(data)
			if n < 0 {
				return ErrMalformed
			}
			data = data[n:]
			if number == fieldTokenText {
				if texts++; texts != len(f.Tokens) {
					return ErrMalformed
				}
			}
			f.setBytes(number, value)
		default:
			return ErrMalformed
		}
	}
	return f.validate(texts)
}

func (f *Frame) validate(texts int) error {
	if f.Kind < KindTokens || f.Kind > KindFailure {
		return ErrMalformed
	}
	if texts != len(f.Tokens) {
		return ErrMalformed
	}
	return nil
}

func (f *Frame) setNumber(number protowire.Number, value uint32) {
	switch number {
	case fieldKind:
		f.Kind = Kind(min(value, math.MaxUint8))
	case fieldGeneration:
		f.Generation = wigeonfork.Generation(value)
	case fieldPosition:
		f.Position = wigeonfork.Position(value)
	case fieldTokenID:
		f.Tokens = append(f.Tokens, backend.Token{ID: value})
	case fieldPrompt:
		f.PromptTokens = value
	case fieldCached:
		f.CachedTokens = value
	case fieldRunning:
		f.Load.Running = value
	case fieldWaiting:
		f.Load.Waiting = value
	case fieldChanges:
		f.Load.Changes = value
	case fieldFailure:
		f.Failure = Failure(min(value, math.MaxUint8))
	}
}

func (f *Frame) setBytes(number protowire.Number, value []byte) {
	switch number {
	case fieldTokenText:
		f.Tokens[len(f.Tokens)-1].Text = value
	case fieldStop:
		f.Stop = stopReason(value)
	case fieldMessage:
		f.Message = string(value)
	}
}

// stopReason returns the known reasons without allocating.
func stopReason(value []byte) backend.StopReason {
	switch string(value) {
	case string(backend.StopEnd):
		return backend.StopEnd
	case string(backend.StopLength):
		return backend.StopLength
	default:
		return backend.StopReason(value)
	}
}
