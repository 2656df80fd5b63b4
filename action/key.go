package action

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Key is an idempotency key: a UUIDv7 in its canonical lower-case form. Its issue time shows that
// a key has expired even after its row is pruned.
type Key string

// ErrBadKey is returned by ParseKey, or marks its error, if the text is not a UUIDv7.
var ErrBadKey = errors.New("idempotency key is not a UUID of version 7")

const (
	uuidTextLength      = 36
	uuidTimestampBytes  = 6
	uuidVersion7        = 7
	bitsPerByte         = 8
	uint64Bytes         = 8
	timestampShiftBytes = uint64Bytes - uuidTimestampBytes
)

// NewKey returns a new key issued at now, with millisecond resolution.
func NewKey(now time.Time) (Key, error) {
	id, err := uuid.NewRandomFromReader(rand.Reader)
	if err != nil {
		return "", errors.Wrap(err, "generate key")
	}
	var stamp [uint64Bytes]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(now.UnixMilli())<<(timestampShiftBytes*bitsPerByte))
	copy(id[:uuidTimestampBytes], stamp[:uuidTimestampBytes])
	id[uuidTimestampBytes] = id[uuidTimestampBytes]&0x0f | uuidVersion7<<4
	return Key(id.String()), nil
}

// ParseKey parses a key. Letter case does not matter. Any other spelling than the canonical one
// fails with ErrBadKey, so that a key maps to exactly one row.
func ParseKey(text string) (Key, error) {
	if len(text) != uuidTextLength {
		return "", ErrBadKey
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return "", errors.Mark(err, ErrBadKey)
	}
	if id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return "", ErrBadKey
	}
	return Key(id.String()), nil
}

// IssuedAt returns the issue time of k, or the zero time if k is malformed.
func (k Key) IssuedAt() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	var stamp [uint64Bytes]byte
	copy(stamp[timestampShiftBytes:], id[:uuidTimestampBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(stamp[:])))
}
