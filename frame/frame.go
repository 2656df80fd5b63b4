// Package frame encodes what an agent sends to an entry about one generation: tokens, heartbeats,
// the end and failures. Frames are length-prefixed and sent in a streamed HTTP response. Their
// fields are encoded as in protocol buffers.
package frame

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

// Kind is the type of a frame.
type Kind uint8

// The kinds of frame.
const (
	// KindTokens carries tokens, the first of them at Position.
	KindTokens Kind = 1
	// KindHeartbeat shows that the agent is alive. Position is that of the next token to be
	// produced.
	KindHeartbeat Kind = 2
	// KindEnd reports that the answer is complete with Position tokens, and the stop reason.
	KindEnd Kind = 3
	// KindFailure reports that this generation yields no further tokens.
	KindFailure Kind = 4
)

// Failure says why a generation can't continue.
type Failure uint8

// The failures.
const (
	FailureNone Failure = 0
	// FailureEngineDead: the engine crashed or lost the generation.
	FailureEngineDead Failure = 1
	// FailureStalled: the engine is alive but makes no progress.
	FailureStalled Failure = 2
	// FailureHandover: the agent is leaving and hands the generation over.
	FailureHandover Failure = 3
	// FailureDisplaced: another entry has attached to the generation.
	FailureDisplaced Failure = 4
	// FailureRejected: the engine refused the request as invalid.
	FailureRejected Failure = 5
	// FailureOverloaded: the engine has no capacity for the request.
	FailureOverloaded Failure = 6
	// FailureCancelled: the generation was cancelled on request or because it had no reader.
	FailureCancelled Failure = 7
	// FailureStream: the engine is alive but failed this generation.
	FailureStream Failure = 8
)

// String returns the name of f for logs and metrics.
func (f Failure) String() string {
	names := [...]string{"none", "engine_dead", "stalled", "handover", "displaced", "rejected", "overloaded", "cancelled", "stream_failed"}
	if int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// MaxBytes is the maximum size of an encoded frame without its length prefix, in bytes.
const MaxBytes = 32 << 10

// MaxTokens is the maximum number of tokens that a writer puts into one frame.
const MaxTokens = 256

// MaxTextBytes is the maximum text that a writer puts into a frame of more than one token, in
// bytes. The rest of MaxBytes is for the other fields.
const MaxTextBytes = 24 << 10

const lengthBytes = 4

// Frame is one message about a generation. Which fields are set depends on Kind.
type Frame struct {
	Kind         Kind
	Generation   wigeonfork.Generation
	Position     wigeonfork.Position
	Tokens       []backend.Token
	Stop         backend.StopReason
	PromptTokens uint32
	CachedTokens uint32
	Failure      Failure
	// Load is set in heartbeats.
	Load Load
	// Message is a CBOR-encoded quarantine.Death, set with FailureEngineDead.
	Message string
}

// Load is the number of running and waiting requests of the engine. Changes counts the changes of
// the agent's status. An entry fetches the status when Changes differs from the status it has.
type Load struct {
	Running uint32
	Waiting uint32
	Changes uint32
}

const (
	fieldKind       protowire.Number = 1
	fieldGeneration protowire.Number = 2
	fieldPosition   protowire.Number = 3
	fieldTokenID    protowire.Number = 4
	fieldTokenText  protowire.Number = 5
	fieldStop       protowire.Number = 6
	fieldPrompt     protowire.Number = 7
	fieldCached     protowire.Number = 8
	fieldFailure    protowire.Number = 9
	fieldMessage    protowire.Number = 10
	fieldRunning    protowire.Number = 11
	fieldWaiting    protowire.Number = 12
	fieldChanges    protowire.Number = 13
)

// ErrMalformed is the cause of every error about data that is not a valid frame.
var ErrMalformed = errors.New("malformed frame")

// Append appends the encoded frame with its length prefix to buf.
func Append(buf []byte, f *Frame) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = appendVarint(buf, fieldKind, uint64(f.Kind))
	buf = appendVarint(buf, fieldGeneration, uint64(f.Generation))
	buf = appendVarint(buf, fieldPosition, uint64(f.Position))
	for i := range f.Tokens {
		buf = appendVarint(buf, fieldTokenID, uint64(f.Tokens[i].ID))
		buf = protowire.AppendTag(buf, fieldTokenText, protowire.BytesType)
		buf = protowire.AppendBytes(buf, f.Tokens[i].Text)
	}
	buf = appendString(buf, fieldStop, string(f.Stop))
	buf = appendNonZero(buf, fieldPrompt, uint64(f.PromptTokens))
	buf = appendNonZero(buf, fieldCached, uint64(f.CachedTokens))
	buf = appendNonZero(buf, fieldFailure, uint64(f.Failure))
	buf = appendString(buf, fieldMessage, f.Message)
	buf = appendNonZero(buf, fieldRunning, uint64(f.Load.Running))
	buf = appendNonZero(buf, fieldWaiting, uint64(f.Load.Waiting))
	buf = appendNonZero(buf, fieldChanges, uint64(f.Load.Changes))
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

func appendVarint(buf []byte, field protowire.Number, value uint64) []byte {
	buf = protowire.AppendTag(buf, field, protowire.VarintType)
	return protowire.AppendVarint(buf, value)
}

func appendNonZero(buf []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return buf
	}
	return appendVarint(buf, field, value)
}

func appendString(buf []byte, field protowire.Number, value string) []byte {
	if value == "" {
		return buf
	}
	buf = protowire.AppendTag(buf, field, protowire.BytesType)
	return protowire.AppendString(buf, value)
}
