package httpbackend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

const (
	defaultMaxEventBytes = 1 << 20
	readBufferBytes      = 4 << 10
	// maxPreallocatedTokens bounds the token capacity that is allocated before an
	// event is decoded.
	maxPreallocatedTokens = 64
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// decoder decodes the chunks of one event stream.
type decoder struct {
	reader        *bufio.Reader
	maxEventBytes int
	longLine      []byte
	finished      bool
	// event is reused for each event. Its tokens are allocated anew.
	event          CompletionChunk
	lastTokenCount int
	// data holds one event at a time as the input of json. consumed is the number
	// of bytes of all events so far.
	data     bytes.Reader
	json     *json.Decoder
	consumed int64
}

func newDecoder(r io.Reader, maxEventBytes int) *decoder {
	d := &decoder{reader: bufio.NewReaderSize(r, readBufferBytes), maxEventBytes: maxEventBytes}
	d.json = json.NewDecoder(&d.data)
	return d
}

// unmarshal decodes data, which must hold one JSON object and nothing else. All
// events share one json.Decoder, because json.Unmarshal allocates its state on each
// call. After an error the decoder, like the stream, cannot be used any more.
func (d *decoder) unmarshal(data []byte, into *CompletionChunk) error {
	if data[0] != '{' {
		return errors.New("event is not a JSON object")
	}
	d.data.Reset(data)
	if err := d.json.Decode(into); err != nil {
		return err
	}
	d.consumed += int64(len(data))
	if d.json.InputOffset() != d.consumed {
		return errors.New("event contains more than one JSON object")
	}
	return nil
}

// next returns the next chunk. It returns io.EOF only after a chunk with Done.
func (d *decoder) next() (backend.Chunk, error) {
	if d.finished {
		return backend.Chunk{}, io.EOF
	}
	for {
		line, err := d.line()
		if err != nil {
			return backend.Chunk{}, err
		}
		data, isData := bytes.CutPrefix(line, dataField)
		data = bytes.TrimSpace(data)
		if !isData || len(data) == 0 {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return backend.Chunk{}, errors.New("stream ended without a finish reason")
		}
		chunk, err := d.chunk(data)
		if err == nil && !chunk.Done && len(chunk.Tokens) == 0 {
			continue
		}
		return chunk, err
	}
}

func (d *decoder) chunk(data []byte) (backend.Chunk, error) {
	event := &d.event
	*event = CompletionChunk{Tokens: make([]backend.Token, 0, d.lastTokenCount)}
	if err := d.unmarshal(data, event); err != nil {
		return backend.Chunk{}, errors.Wrap(err, "decode event")
	}
	d.lastTokenCount = min(len(event.Tokens), maxPreallocatedTokens)
	if event.Error != nil {
		return backend.Chunk{}, errors.Newf("engine failed: %s", event.Error.Message)
	}
	chunk := backend.Chunk{Position: event.Position, Tokens: event.Tokens}
	if event.FinishReason == "" {
		return chunk, nil
	}
	return d.finalChunk(chunk, event)
}

// finalChunk validates the event with the finish reason and returns its chunk.
func (d *decoder) finalChunk(chunk backend.Chunk, event *CompletionChunk) (backend.Chunk, error) {
	if event.FinishReason != backend.StopEnd && event.FinishReason != backend.StopLength {
		return backend.Chunk{}, errors.Newf("unknown finish reason %q", event.FinishReason)
	}
	if event.Usage == nil {
		return backend.Chunk{}, errors.New("event has a finish reason without usage")
	}
	if len(event.Tokens) > 0 {
		return backend.Chunk{}, errors.New("event has both tokens and a finish reason")
	}
	d.finished = true
	chunk.Tokens = nil
	chunk.Done = true
	chunk.Stop = event.FinishReason
	chunk.Position = wigeonfork.Position(event.Usage.CompletionTokens)
	chunk.PromptTokens = event.Usage.PromptTokens
	chunk.CachedTokens = event.Usage.CachedTokens
	return chunk, nil
}

// line returns the next line, including its newline. It is valid until the next
// call.
func (d *decoder) line() ([]byte, error) {
	part, err := d.reader.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	d.longLine = d.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		d.longLine = append(d.longLine, part...)
		if len(d.longLine) > d.maxEventBytes {
			return nil, errors.Newf("event exceeds %d bytes", d.maxEventBytes)
		}
		part, err = d.reader.ReadSlice('\n')
	}
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	d.longLine = append(d.longLine, part...)
	return d.longLine, nil
}

// stream implements backend.Stream.
type stream struct {
	exchange exchange
	body     io.ReadCloser
	cancel   context.CancelFunc
	decoder  *decoder

	mu      sync.Mutex
	watched <-chan struct{}
	unwatch func() bool
	closed  bool
}

func newStream(x exchange, body io.ReadCloser, cancel context.CancelFunc, maxEventBytes int) *stream {
	return &stream{exchange: x, body: body, cancel: cancel, decoder: newDecoder(body, maxEventBytes)}
}

// Next implements backend.Stream. Cancelling ctx ends the stream. Next must not be
// called concurrently with itself.
func (s *stream) Next(ctx context.Context) (backend.Chunk, error) {
	s.watch(ctx)
	chunk, err := s.decoder.next()
	if err == nil || err == io.EOF {
		return chunk, err
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return backend.Chunk{}, s.exchange.fail(infra.OutcomeUnknown, err)
}

// Close implements backend.Stream. It may be called concurrently with Next.
func (s *stream) Close() error {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.stopWatching()
	s.mu.Unlock()
	if closed {
		return nil
	}
	s.cancel()
	return s.body.Close()
}

// watch arranges that the stream is cancelled when ctx ends. It does nothing if ctx
// has the same Done channel as in the previous call.
func (s *stream) watch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || ctx.Done() == s.watched {
		return
	}
	s.stopWatching()
	s.watched = ctx.Done()
	if s.watched != nil {
		s.unwatch = context.AfterFunc(ctx, s.cancel)
	}
}

func (s *stream) stopWatching() {
	if s.unwatch != nil {
		s.unwatch()
		s.unwatch = nil
	}
}
