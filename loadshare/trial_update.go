package loadshare

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

// TrialKind is the kind of a TrialUpdate.
type TrialKind uint8

// The kinds of trial updates.
const (
	// TrialAsked asks the receiver for a trial.
	TrialAsked TrialKind = iota + 1
	// TrialAnswered answers TrialAsked.
	TrialAnswered
	// TrialRenewed says that a trial is under way, and TrialEnded that it has ended.
	TrialRenewed
	TrialEnded
)

// TrialUpdate is a message between an entry that runs a suspected request and the one that grants its trials.
// It has a datagram version of its own, so that entries of earlier versions ignore it.
type TrialUpdate struct {
	Kind    TrialKind              `cbor:"1,keyasint"`
	ID      quarantine.TrialID     `cbor:"2,keyasint"`
	Content quarantine.ContentHash `cbor:"3,keyasint"`
	// LostServers is that of a quarantine.TrialRequest.
	LostServers int `cbor:"4,keyasint,omitempty"`
	// Granted, Refused and RetryAfter are those of a quarantine.TrialAnswer.
	Granted    bool          `cbor:"5,keyasint,omitempty"`
	Refused    bool          `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Sent is set with TrialEnded if the request was sent to a server.
	Sent bool `cbor:"8,keyasint,omitempty"`
}

// Request returns the request that the update carries.
func (u *TrialUpdate) Request() quarantine.TrialRequest {
	return quarantine.TrialRequest{ID: u.ID, Content: u.Content, LostServers: u.LostServers}
}

// Answer returns the answer that the update carries.
func (u *TrialUpdate) Answer() quarantine.TrialAnswer {
	return quarantine.TrialAnswer{Granted: u.Granted, Refused: u.Refused, RetryAfter: u.RetryAfter}
}

// TrialAnswerOf returns the update that answers a request.
func TrialAnswerOf(r quarantine.TrialRequest, a quarantine.TrialAnswer) *TrialUpdate {
	return &TrialUpdate{
		Kind: TrialAnswered, ID: r.ID, Content: r.Content, Granted: a.Granted, Refused: a.Refused, RetryAfter: a.RetryAfter,
	}
}

// TrialRequestOf returns the update of a kind for a request.
func TrialRequestOf(kind TrialKind, r quarantine.TrialRequest) *TrialUpdate {
	return &TrialUpdate{Kind: kind, ID: r.ID, Content: r.Content, LostServers: r.LostServers}
}

// AppendTrialUpdate appends the encoding of a datagram with a trial update from the listener at port.
func AppendTrialUpdate(buf []byte, port uint16, u *TrialUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, trialUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode trial update")
}

// IsTrialUpdate reports whether a datagram holds a trial update.
func IsTrialUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == trialUpdateVersion
}

// ParseTrialUpdate decodes a datagram for which IsTrialUpdate holds. It returns the address of the sender's
// listener and the update.
func ParseTrialUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *TrialUpdate, error) {
	u := &TrialUpdate{}
	sender, err := parseUpdate(data, from, u)
	return sender, u, errors.Wrap(err, "decode trial update")
}
