package frame

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

func drawFrame(t *rapid.T) Frame {
	f := Frame{
		Kind:         Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
		Generation:   wigeonfork.Generation(rapid.Uint32().Draw(t, "generation")),
		Position:     wigeonfork.Position(rapid.Uint32().Draw(t, "position")),
		Stop:         backend.StopReason(rapid.SampledFrom([]string{"", "stop", "length", "x"}).Draw(t, "stop")),
		PromptTokens: rapid.Uint32().Draw(t, "prompt"),
		Failure:      Failure(rapid.IntRange(0, 6).Draw(t, "failure")),
		Message:      rapid.StringN(0, 20, 60).Draw(t, "message"),
	}
	f.Load = Load{Running: rapid.Uint32().Draw(t, "running"), Changes: rapid.Uint32().Draw(t, "changes")}
	for range rapid.IntRange(0, 5).Draw(t, "tokens") {
		f.Tokens = append(f.Tokens, backend.Token{
			ID:   rapid.Uint32().Draw(t, "id"),
			Text: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "text"),
		})
	}
	return f
}

func sameFrame(a, b Frame) bool {
	if len(a.Tokens) != len(b.Tokens) {
		return false
	}
	for i := range a.Tokens {
		if a.Tokens[i].ID != b.Tokens[i].ID || !bytes.Equal(a.Tokens[i].Text, b.Tokens[i].Text) {
			return false
		}
	}
	a.Tokens, b.Tokens = nil, nil
	return a.Kind == b.Kind && a.Generation == b.Generation && a.Position == b.Position &&
		a.Stop == b.Stop && a.PromptTokens == b.PromptTokens && a.Failure == b.Failure && a.Load == b.Load && a.Message == b.Message
}

func TestReaderReportsTruncationAtAnyByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		var frames []Frame
		var ends []int
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			f := drawFrame(t)
			frames = append(frames, f)
			wire = Append(wire, &f)
			ends = append(ends, len(wire))
		}
		cut := rapid.IntRange(0, len(wire)).Draw(t, "cut")
		reader := NewReader(bytes.NewReader(wire[:cut]))
		var got Frame
		for i, end := range ends {
			err := reader.Read(&got)
			if end <= cut {
				if err != nil || !sameFrame(got, frames[i]) {
					t.Fatalf("frame %d: %v", i, err)
				}
				continue
			}
			atBoundary := cut == 0 || (i > 0 && ends[i-1] == cut)
			if atBoundary != errors.Is(err, io.EOF) || (!atBoundary && !errors.Is(err, io.ErrUnexpectedEOF)) {
				t.Fatalf("cut frame %d: %v", i, err)
			}
			return
		}
	})
}

func TestReaderDoesNotAllocatePerFrame(t *testing.T) {
	Convey("Reading a frame of tokens does not allocate", t, func() {
		f := Frame{Kind: KindTokens, Generation: 1, Tokens: []backend.Token{{ID: 1, Text: []byte("word ")}}}
		wire := Append(nil, &f)
		source := bytes.NewReader(wire)
		reader := NewReader(source)
		var got Frame
		allocations := testing.AllocsPerRun(100, func() {
			source.Reset(wire)
			if reader.Read(&got) != nil {
				panic("read failed")
			}
		})
		So(allocations, ShouldEqual, 0)
	})
}

func FuzzDecode(f *testing.F) {
	valid := Append(nil, &Frame{Kind: KindTokens, Generation: 1, Tokens: []backend.Token{{ID: 7, Text: []byte("a")}}})
	f.Add(valid[lengthBytes:])
	f.Add([]byte{0x08, 0x01, 0x22})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got Frame
		if Decode(data, &got) != nil {
			return
		}
		encoded := Append(nil, &got)
		var second Frame
		if err := Decode(encoded[lengthBytes:], &second); err != nil || !sameFrame(got, second) {
			t.Fatalf("decoding an encoded frame: %v", err)
		}
	})
}
