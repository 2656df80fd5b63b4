package memquota

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

// endless never ends.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

func TestGather(t *testing.T) {
	Convey("What is gathered is what was sent, in whatever pieces it comes", t, func() {
		for _, n := range []int{0, 1, minPiece - 1, minPiece, minPiece + 1, 3*minPiece + 5, maxPiece, 300_000} {
			data := make([]byte, n)
			for i := range data {
				data[i] = byte(rand.Uint32())
			}
			for _, length := range []int64{-1, 0, int64(n), int64(n) / 2, int64(n) * 2} {
				for _, r := range []io.Reader{bytes.NewReader(data), iotest.HalfReader(bytes.NewReader(data)), iotest.DataErrReader(bytes.NewReader(data))} {
					q := New(64 * mebibyte)
					hold := q.Begin(ServerAnswer, "i-1")
					b, err := Gather(r, length, 1<<20, hold)
					So(err, ShouldBeNil)
					So(b.Len(), ShouldEqual, n)
					So(q.Usage().Used, ShouldBeGreaterThanOrEqualTo, n)
					var out bytes.Buffer
					_, err = b.WriteTo(&out)
					So(err, ShouldBeNil)
					So(bytes.Equal(out.Bytes(), data), ShouldBeTrue)
					all, err := b.Bytes(hold)
					So(err, ShouldBeNil)
					So(bytes.Equal(all, data), ShouldBeTrue)
					hold.End()
					So(q.Usage().Used, ShouldEqual, 0)
				}
			}
		}
	})
	Convey("An answer without end ends at its limit, or where the quota has no room", t, func() {
		q := New(64 * mebibyte)
		source := &endless{}
		_, err := Gather(source, -1, mebibyte, q.Begin(ServerAnswer, "i-1"))
		So(err, ShouldEqual, ErrTooLarge)
		So(source.read, ShouldBeLessThan, mebibyte+2*maxPiece)
		q, source = New(mebibyte), &endless{}
		_, err = Gather(source, -1, 8*mebibyte, q.Begin(ServerAnswer, "i-1"))
		So(err, ShouldWrap, ErrExceeded)
		So(source.read, ShouldBeLessThan, mebibyte)
	})
	Convey("What is announced as too large is not read", t, func() {
		source := &endless{}
		_, err := Gather(source, 2*mebibyte, mebibyte, nil)
		So(err, ShouldEqual, ErrTooLarge)
		_, err = Gather(source, mebibyte, mebibyte, New(mebibyte).Begin(CallerBody, "w"))
		So(err, ShouldWrap, ErrExceeded)
		So(source.read, ShouldEqual, 0)
	})
	Convey("The reader's error is returned", t, func() {
		_, err := Gather(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("text"))), -1, 10, nil)
		So(err, ShouldEqual, iotest.ErrTimeout)
	})
}
