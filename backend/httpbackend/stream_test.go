package httpbackend

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
)

const fuzzMaxEventBytes = 1 << 10

const completeStream = `: comment
data: {"position":0,"tokens":[{"id":1,"text":"YQ=="},{"id":2,"text":"w6Y="}]}

event: ignored
data:{"position":2,"tokens":[{"id":3,"text":"Yg=="}]}

data: {"position":3,"finish_reason":"stop","usage":{"prompt_tokens":4,"cached_tokens":2,"completion_tokens":3}}

data: [DONE]

`

// decodeAll returns the chunks of r and the error that ended them.
func decodeAll(r io.Reader) ([]backend.Chunk, error) {
	d := newDecoder(r, fuzzMaxEventBytes)
	var chunks []backend.Chunk
	for {
		chunk, err := d.next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

func TestDecoder(t *testing.T) {
	Convey("A stream truncated before the end of its last event never ends with io.EOF", t, func() {
		end := strings.Index(completeStream, "\n\ndata: [DONE]")
		for n := range end {
			chunks, err := decodeAll(strings.NewReader(completeStream[:n]))
			So(err, ShouldNotEqual, io.EOF)
			So(len(chunks), ShouldBeLessThan, 3)
		}
		chunks, err := decodeAll(strings.NewReader(completeStream))
		So(err, ShouldEqual, io.EOF)
		So(len(chunks), ShouldEqual, 3)
		So(chunks[2], ShouldResemble, backend.Chunk{Position: 3, Done: true, Stop: backend.StopEnd, PromptTokens: 4, CachedTokens: 2})
	})
	Convey("Chunks are not overwritten when later ones are read", t, func() {
		chunks, err := decodeAll(strings.NewReader(completeStream))
		So(err, ShouldEqual, io.EOF)
		So(string(chunks[0].Tokens[1].Text), ShouldEqual, "æ")
		So(chunks[1].Tokens[0], ShouldResemble, backend.Token{ID: 3, Text: []byte("b")})
	})
	Convey("A malformed, failed or oversized event, or an end without a finish reason, is an error", t, func() {
		for _, text := range []string{
			`data: {"position":0,"finish_reason":"stop"}`,
			`data: {"position":0,"finish_reason":"odd","usage":{}}`,
			`data: {"position":0,"tokens":[{"id":1,"text":"YQ=="}],"finish_reason":"stop","usage":{}}`,
			`data: {"error":{"message":"x"}}`,
			`data: {"position":0}{"position":0}`,
			`data: {"position":0,` + "\n\n" + `data: "tokens":[{"id":1,"text":"YQ=="}]}`,
			`data: null`,
			`data: [DONE]`,
			`data: {"position":4294967296,"tokens":[{"id":1,"text":"YQ=="}]}`,
			`data: ` + strings.Repeat("x", 2*fuzzMaxEventBytes+readBufferBytes),
		} {
			chunks, err := decodeAll(strings.NewReader(text + "\n\n"))
			So(chunks, ShouldBeEmpty)
			So(err, ShouldNotEqual, io.EOF)
		}
	})
}

func FuzzStreamDecode(f *testing.F) {
	seeds, err := filepath.Glob("testdata/streams/*.txt")
	if err != nil || len(seeds) == 0 {
		f.Fatal("no seed corpus", err)
	}
	for _, name := range seeds {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		chunks, err := decodeAll(bytes.NewReader(text))
		if err == nil {
			t.Fatal("no error at the end")
		}
		done := 0
		for i, chunk := range chunks {
			if chunk.Done {
				done++
			}
			if !chunk.Done && len(chunk.Tokens) == 0 {
				t.Fatal("empty chunk")
			}
			if chunk.Done && i != len(chunks)-1 {
				t.Fatal("chunk after the end")
			}
		}
		if (err == io.EOF) != (done == 1) {
			t.Fatalf("%d ends and error %v", done, err)
		}
		// The result must not depend on how the bytes are split into reads.
		byteByByte, byteByByteErr := decodeAll(iotest.OneByteReader(bytes.NewReader(text)))
		if len(byteByByte) != len(chunks) || (byteByByteErr == io.EOF) != (err == io.EOF) {
			t.Fatalf("%d chunks and %v, byte by byte %d and %v", len(chunks), err, len(byteByByte), byteByByteErr)
		}
	})
}

func BenchmarkStreamDecode(b *testing.B) {
	event := []byte(`data: {"position":12345,"tokens":[{"id":3921234567,"text":"IHZhbmRl"}]}` + "\n\n")
	d := newDecoder(&repeatReader{text: event}, defaultMaxEventBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatReader is an endless reader that repeats its text.
type repeatReader struct {
	text []byte
	at   int
}

// Read implements io.Reader.
func (r *repeatReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
