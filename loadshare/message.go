// Package loadshare lets the entries of a deployment hear of each other's sends
// and losses, so that they do not choose the same backend server at once and
// learn of a loss from whoever sees it first.
//
// Messages are hints: they may be lost, late or repeated, and nothing depends on
// them but the quality of choices.
package loadshare

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// Kind tells what a Message says.
type Kind uint8

// The kinds of messages.
const (
	// Heartbeat: the sender is there.
	Heartbeat Kind = iota + 1
	// Started: the sender sent a request to a backend server.
	Started
	// Repeated: the sender sent a request to one more backend server.
	Repeated
	// Lost: the sender finds that a backend server does not answer.
	Lost
	// ConfigCurrent: the configuration of version Server was the newest when the store's
	// clock showed Part milliseconds.
	ConfigCurrent
	// Speed: the sender measured a backend server: Tokens is the time between two
	// tokens in microseconds, Part the prompt tokens read in a second.
	Speed
	// Failed: a request of the sender failed at a backend server that answered.
	Failed
	// Succeeded: a request of the sender ended well at a backend server that was told
	// to fail.
	Succeeded
	// Recovered: the sender finds that a backend server that was lost answers again.
	Recovered
)

// ServerHash stands for a backend server's id in messages.
type ServerHash uint64

// HashServer returns the hash of a server's id.
func HashServer(id wigeonfork.BackendServerID) ServerHash {
	return ServerHash(xxhash.Sum64String(string(id)))
}

// Message is one hint.
type Message struct {
	Kind   Kind
	Server ServerHash
	// Tokens is the prompt's length, and Part the hash of its longest prefix, which
	// has that length.
	Tokens uint32
	Value  uint64
}

// Wire format of a datagram: version, port of the sender's listener, then the
// messages of messageSize bytes each, all in little endian.
const (
	wireVersion           = 1
	registryUpdateVersion = 2
	headerSize            = 1 + 2
	messageSize           = 1 + 8 + 4 + 8
	// MaxMessages is the number of messages that fit in one datagram on every path.
	MaxMessages = (1200 - headerSize) / messageSize
)

// Append encodes a datagram of at most MaxMessages messages from the listener at
// port.
func Append(buf []byte, port uint16, messages []Message) []byte {
	buf = append(buf, wireVersion)
	buf = binary.LittleEndian.AppendUint16(buf, port)
	for _, m := range messages {
		buf = append(buf, byte(m.Kind))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(m.Server))
		buf = binary.LittleEndian.AppendUint32(buf, m.Tokens)
		buf = binary.LittleEndian.AppendUint64(buf, m.Value)
	}
	return buf
}

// Parse decodes a datagram from a sender. It returns the address of the sender's
// listener and its messages, and fails on a malformed datagram.
func Parse(data []byte, from netip.AddrPort) (netip.AddrPort, []Message, error) {
	if len(data) < headerSize || data[0] != wireVersion || (len(data)-headerSize)%messageSize != 0 {
		return netip.AddrPort{}, nil, errors.Newf("datagram of %d bytes is malformed", len(data))
	}
	sender := netip.AddrPortFrom(from.Addr().Unmap(), binary.LittleEndian.Uint16(data[1:]))
	data = data[headerSize:]
	messages := make([]Message, 0, len(data)/messageSize)
	for ; len(data) > 0; data = data[messageSize:] {
		m := Message{
			Kind:   Kind(data[0]),
			Server: ServerHash(binary.LittleEndian.Uint64(data[1:])),
			Tokens: binary.LittleEndian.Uint32(data[9:]),
			Value:  binary.LittleEndian.Uint64(data[13:]),
		}
		if m.Kind < Heartbeat || m.Kind > Recovered {
			return sender, nil, errors.Newf("message of unknown kind %d", m.Kind)
		}
		messages = append(messages, m)
	}
	return sender, messages, nil
}
