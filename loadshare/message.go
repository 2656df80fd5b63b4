// Package loadshare implements gossip between the entries of a deployment. They announce the
// requests that they send and the servers that they lose, so that they do not all choose the same
// backend server at once and each learns of a loss from the entry that detects it first. They also
// report what they read from the store and divide the probes of lost servers among them, so that
// the numbers of reads and probes do not grow with the number of entries.
//
// Messages are hints. They may be lost, late or repeated. That affects only the quality of routing
// decisions and how soon an entry learns of a change.
package loadshare

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
)

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	// Heartbeat announces that the sender is live.
	Heartbeat Kind = iota + 1
	// Started announces that the sender sent a request to a backend server.
	Started
	// Repeated announces that the sender retried a request at a backend server.
	Repeated
	// Lost reports that a backend server does not respond to the sender.
	Lost
	// ConfigCurrent reports that the configuration of version Server was the newest when the
	// store's clock showed Value milliseconds, in the store's era Tokens. If Value is 0, the
	// configuration was accepted but may not be the newest.
	ConfigCurrent
	// Speed reports the measured speed of a backend server. Tokens is the time between two
	// tokens in microseconds, and Value the prompt tokens read per second.
	Speed
	// Failed reports that a request of the sender failed at a backend server that it could reach.
	Failed
	// Succeeded reports that a request of the sender succeeded at a backend server that was
	// reported failing.
	Succeeded
	// Recovered reports that a lost backend server responds to the sender again.
	Recovered
	// Ended announces that a request which the sender announced as Started or Repeated has ended. This kind and the
	// following travel in datagrams of their own version, so that entries of earlier versions drop only these.
	Ended
	// CopyKept announces that a backend server keeps a copy of at most Tokens tokens of the request with prefix Value.
	CopyKept
	// CopyDropped announces the end of such a copy.
	CopyDropped
)

// isOccupancy reports whether messages of the kind travel in occupancy datagrams.
func (k Kind) isOccupancy() bool { return k >= Ended && k <= CopyDropped }

// ServerHash identifies a backend server in messages. It is the hash of the server's id.
type ServerHash uint64

// HashServer returns the hash of a server's id.
func HashServer(id wigeonfork.BackendServerID) ServerHash {
	return ServerHash(xxhash.Sum64String(string(id)))
}

// Message is one hint. Kinds that define no other meaning use the fields as documented here.
type Message struct {
	Kind   Kind
	Server ServerHash
	// Tokens is the length of the prompt, and Value the hash of its longest prefix, which has
	// that length.
	Tokens uint32
	Value  uint64
}

// A datagram holds a version, the port of the sender's listener and then messages of messageSize
// bytes each, all in little endian.
const (
	wireVersion           = 1
	registryUpdateVersion = 2
	crashUpdateVersion    = 3
	moveUpdateVersion     = 4
	partUpdateVersion     = 5
	trialUpdateVersion    = 6
	limitUpdateVersion    = 7
	leavingUpdateVersion  = 8
	// Version 9 is not used.
	capacityUpdateVersion      = 10
	occupancyVersion           = 11
	configurationUpdateVersion = 12
	headerSize                 = 1 + 2
	messageSize                = 1 + 8 + 4 + 8
	// MaxMessages is the number of messages that fit in a datagram of 1200 bytes, which fits the
	// MTU of every path.
	MaxMessages = (1200 - headerSize) / messageSize
)

// Append appends the encoding of a datagram with at most MaxMessages messages from the listener
// at port.
func Append(buf []byte, port uint16, messages []Message) []byte {
	return appendMessages(buf, wireVersion, port, messages)
}

// AppendOccupancy is Append for messages of the kinds Ended, CopyKept and CopyDropped.
func AppendOccupancy(buf []byte, port uint16, messages []Message) []byte {
	return appendMessages(buf, occupancyVersion, port, messages)
}

// SplitOccupancy returns the messages that Append and those that AppendOccupancy encodes, each in their order.
func SplitOccupancy(messages []Message) (plain, occupancy []Message) {
	for _, m := range messages {
		if m.Kind.isOccupancy() {
			occupancy = append(occupancy, m)
		} else {
			plain = append(plain, m)
		}
	}
	return plain, occupancy
}

func appendMessages(buf []byte, version byte, port uint16, messages []Message) []byte {
	buf = append(buf, version)
	buf = binary.LittleEndian.AppendUint16(buf, port)
	for _, m := range messages {
		buf = append(buf, byte(m.Kind))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(m.Server))
		buf = binary.LittleEndian.AppendUint32(buf, m.Tokens)
		buf = binary.LittleEndian.AppendUint64(buf, m.Value)
	}
	return buf
}

// Parse decodes a datagram of Append or AppendOccupancy that was received from the address from. It returns the address of
// the sender's listener and the messages, or an error if the datagram is malformed.
func Parse(data []byte, from netip.AddrPort) (netip.AddrPort, []Message, error) {
	if len(data) < headerSize || (data[0] != wireVersion && data[0] != occupancyVersion) || (len(data)-headerSize)%messageSize != 0 {
		return netip.AddrPort{}, nil, errors.Newf("datagram of %d bytes is malformed", len(data))
	}
	sender := netip.AddrPortFrom(from.Addr().Unmap(), binary.LittleEndian.Uint16(data[1:]))
	occupancy := data[0] == occupancyVersion
	data = data[headerSize:]
	messages := make([]Message, 0, len(data)/messageSize)
	for ; len(data) > 0; data = data[messageSize:] {
		m := Message{
			Kind:   Kind(data[0]),
			Server: ServerHash(binary.LittleEndian.Uint64(data[1:])),
			Tokens: binary.LittleEndian.Uint32(data[9:]),
			Value:  binary.LittleEndian.Uint64(data[13:]),
		}
		if m.Kind < Heartbeat || m.Kind > CopyDropped || m.Kind.isOccupancy() != occupancy {
			return sender, nil, errors.Newf("message of unknown kind %d", m.Kind)
		}
		messages = append(messages, m)
	}
	return sender, messages, nil
}
