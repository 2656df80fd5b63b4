package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonfork/wigeonfork"
)

// Handle is the content of a resume handle: it identifies an unfinished answer and the agent that
// stores its tokens, so that any entry can resume it.
type Handle struct {
	RequestID  wigeonfork.RequestID  `cbor:"1,keyasint"`
	Workspace  wigeonfork.Workspace  `cbor:"2,keyasint"`
	Model      wigeonfork.Model      `cbor:"3,keyasint"`
	Version    wigeonfork.Version    `cbor:"4,keyasint"`
	Generation wigeonfork.Generation `cbor:"5,keyasint"`
	// Agent is the address of the agent that stores the tokens.
	Agent string `cbor:"6,keyasint"`
	// Chat is set if the caller expects the chat format.
	Chat bool `cbor:"7,keyasint,omitempty"`
}

// encoding is strict, so that each handle has exactly one valid text.
var encoding = base64.RawURLEncoding.Strict()

// macBytes is the length of the truncated HMAC.
const macBytes = 16

// MinKeyBytes is the minimum length of a Sealer's key.
const MinKeyBytes = 16

// ErrInvalidHandle reports a resume handle or event id that is malformed or not authentic.
var ErrInvalidHandle = errors.New("invalid resume handle")

// Sealer encodes and authenticates resume handles with a key that all entries share.
type Sealer struct {
	key []byte
}

// NewSealer returns a Sealer. It fails on a key shorter than MinKeyBytes.
func NewSealer(key []byte) (*Sealer, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.Newf("handle key has %d bytes, at least %d are needed", len(key), MinKeyBytes)
	}
	return &Sealer{key: append([]byte(nil), key...)}, nil
}

// Seal returns the authenticated text form of h. It is not encrypted.
func (s *Sealer) Seal(h Handle) (string, error) {
	body, err := cbor.Marshal(h)
	if err != nil {
		return "", errors.Wrap(err, "encode resume handle")
	}
	return encoding.EncodeToString(append(body, s.mac(body)...)), nil
}

// Open decodes text. It returns ErrInvalidHandle if text was not sealed with the same key.
func (s *Sealer) Open(text string) (Handle, error) {
	var h Handle
	data, err := encoding.DecodeString(text)
	if err != nil || len(data) <= macBytes {
		return h, ErrInvalidHandle
	}
	body, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, s.mac(body)) {
		return h, ErrInvalidHandle
	}
	if cbor.Unmarshal(body, &h) != nil {
		return h, ErrInvalidHandle
	}
	return h, nil
}

func (s *Sealer) mac(body []byte) []byte {
	code := hmac.New(sha256.New, s.key)
	code.Write(body)
	return code.Sum(nil)[:macBytes]
}

// AppendEventID appends the event id for position p, in the form "sealed.p".
func AppendEventID(buf []byte, sealed string, p wigeonfork.Position) []byte {
	buf = append(buf, sealed...)
	buf = append(buf, '.')
	return strconv.AppendUint(buf, uint64(p), 10)
}

// ParseEventID splits an event id into the sealed handle and the position of the next token to
// deliver. It does not authenticate the handle.
func ParseEventID(id string) (string, wigeonfork.Position, error) {
	separator := strings.LastIndexByte(id, '.')
	if separator < 0 {
		return "", 0, ErrInvalidHandle
	}
	position, err := strconv.ParseUint(id[separator+1:], 10, 32)
	if err != nil {
		return "", 0, ErrInvalidHandle
	}
	return id[:separator], wigeonfork.Position(position), nil
}
