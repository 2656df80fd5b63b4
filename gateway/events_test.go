package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEventReader(t *testing.T) {
	Convey("A stream that arrives byte by byte is split into its events unchanged", t, func() {
		text := "id: 1\ndata: a\n\nversion: 3\r\nid:2\r\ndata: b\r\n\r\n: comment\n\n"
		r := newEventReader(iotest.OneByteReader(strings.NewReader(text)), nil)
		var got strings.Builder
		var ids []uint64
		for {
			event, err := r.next()
			if err != nil {
				So(err, ShouldEqual, io.EOF)
				break
			}
			got.Write(event.Raw)
			ids = append(ids, event.ID)
		}
		So(got.String(), ShouldEqual, text)
		So(ids, ShouldResemble, []uint64{1, 2, 0})
	})
	Convey("A truncated event is an unexpected end of file", t, func() {
		r := newEventReader(strings.NewReader("id: 1\ndata: a\n"), nil)
		_, err := r.next()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
	Convey("Malformed ids and oversized events are rejected", t, func() {
		_, err := newEventReader(strings.NewReader("id: x\n\n"), nil).next()
		So(err, ShouldNotBeNil)
		_, err = newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), nil).next()
		So(err, ShouldNotBeNil)
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newEventReader(bytes.NewReader(data), nil)
		var passed []byte
		for {
			event, err := r.next()
			if err != nil {
				break
			}
			passed = append(passed, event.Raw...)
		}
		if !bytes.HasPrefix(data, passed) {
			t.Fatalf("passed %q of %q", passed, data)
		}
	})
}
