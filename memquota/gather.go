package memquota

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that what is gathered exceeds the limit of its reader.
var ErrTooLarge = errors.New("it is too large")

// Sizes of the pieces in which bytes of unknown length are gathered, in bytes. Each is twice the one before.
const (
	minPiece = 1 << 10
	maxPiece = 64 << 10
)

// Buffer holds gathered bytes in pieces, so that growing copies none.
type Buffer struct {
	pieces [][]byte
	size   int64
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 { return b.size }

// WriteTo implements io.WriterTo. Each write has at most maxPiece bytes.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, piece := range b.pieces {
		for len(piece) > 0 {
			n, err := w.Write(piece[:min(len(piece), maxPiece)])
			written += int64(n)
			if err != nil {
				return written, err
			}
			piece = piece[n:]
		}
	}
	return written, nil
}

// Bytes returns the bytes as one slice. It counts those that it has to copy for that.
func (b *Buffer) Bytes(hold *Hold) ([]byte, error) {
	if len(b.pieces) == 0 {
		return nil, nil
	}
	if len(b.pieces) == 1 {
		return b.pieces[0], nil
	}
	if err := hold.Grow(b.size); err != nil {
		return nil, err
	}
	all := make([]byte, 0, b.size)
	for _, piece := range b.pieces {
		all = append(all, piece...)
	}
	b.pieces = [][]byte{all}
	return all, nil
}

// Gather reads r to its end and counts what it holds. length is the announced number of bytes, or -1. It returns
// ErrTooLarge beyond limit bytes and ErrExceeded without room for them, in either case before it holds them, and the
// reader's error.
func Gather(r io.Reader, length, limit int64, hold *Hold) (*Buffer, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	b := &Buffer{}
	// A piece is one byte longer than announced, to read the end of r into it.
	size := length + 1
	if length < 0 {
		size = minPiece
	}
	for {
		if err := hold.Grow(size); err != nil {
			return nil, err
		}
		piece, ended, err := readPiece(r, make([]byte, 0, size))
		b.size += int64(len(piece))
		if len(piece) > 0 {
			b.pieces = append(b.pieces, piece)
		}
		switch {
		case err != nil:
			return nil, err
		case b.size > limit:
			return nil, ErrTooLarge
		case ended:
			return b, nil
		}
		size = min(max(2*size, minPiece), maxPiece)
	}
}

// readPiece fills a piece and returns whether r has ended.
func readPiece(r io.Reader, piece []byte) (read []byte, ended bool, err error) {
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err == io.EOF {
			return piece, true, nil
		}
		if err != nil {
			return piece, false, err
		}
	}
	return piece, false, nil
}
