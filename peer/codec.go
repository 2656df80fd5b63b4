package peer

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes is the largest message that a process reads.
const MaxMessageBytes = 4 << 20

// maxHandshakeBytes is the largest message that a process reads before the handshake.
const maxHandshakeBytes = 16 << 10

// maxHeaderLines bounds the header lines before a message.
const maxHeaderLines = 8

const lengthHeader = "Content-Length: "

// limitedCodec is the library's header codec with limits on the input from the other side.
type limitedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	// maxBytes returns the size of the largest message at the moment.
	maxBytes func() int
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := readLength(stream)
	if err != nil {
		return err
	}
	if limit := c.maxBytes(); size > limit {
		return errors.Newf("message of %d bytes, at most %d allowed", size, limit)
	}
	body := io.LimitReader(stream, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

func readLength(stream *bufio.Reader) (int, error) {
	size := 0
	for range maxHeaderLines {
		// ReadSlice fails on a line longer than the reader's buffer.
		line, err := stream.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		text := strings.TrimSpace(string(line))
		if text == "" {
			return size, checkLength(size)
		}
		if value, ok := strings.CutPrefix(text, lengthHeader); ok {
			if size, err = strconv.Atoi(value); err != nil {
				return 0, errors.Wrap(err, "read message length")
			}
		}
	}
	return 0, errors.New("message header has too many lines")
}

func checkLength(size int) error {
	if size <= 0 {
		return errors.Newf("invalid message length: %d bytes", size)
	}
	return nil
}

// discardLogger discards the library's messages about broken connections. Their ends are detected
// and logged elsewhere.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

var discardLog = jsonrpc2.SetLogger(discardLogger{})
