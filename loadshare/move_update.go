package loadshare

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// MoveUpdate reports what one entry knows of a move of a service to another version. It has a
// datagram version of its own, so that entries of earlier versions ignore it.
type MoveUpdate struct {
	Service  wigeonfork.Model   `cbor:"1,keyasint"`
	From     wigeonfork.Version `cbor:"2,keyasint"`
	To       wigeonfork.Version `cbor:"3,keyasint"`
	Duration time.Duration      `cbor:"4,keyasint"`
	Revision uint64             `cbor:"5,keyasint"`
	// Left is the time to the deadline when the update was sent.
	Left time.Duration `cbor:"6,keyasint"`
	// Confirmed is set if the sender knows that Stage is not behind the stored state.
	Confirmed bool          `cbor:"7,keyasint,omitempty"`
	Stage     rollout.Stage `cbor:"8,keyasint,omitempty"`
	Reason    string        `cbor:"9,keyasint,omitempty"`
	// Source identifies the sender's incarnation, and Report is what it saw itself.
	Source string             `cbor:"10,keyasint"`
	Report rollout.MoveReport `cbor:"11,keyasint"`
	// Era is the era of Revision. Builds without eras don't send it.
	Era uint64 `cbor:"12,keyasint,omitempty"`
	// InService is the version in service as far as the sender knows. From is what it uses, which differs if the version in
	// service has no servers that take requests.
	InService rollout.InService `cbor:"13,keyasint,omitzero"`
}

// Order returns the order of the move.
func (u *MoveUpdate) Order() rollout.MoveOrder {
	at := storepos.Position{Era: u.Era, Revision: u.Revision}
	return rollout.MoveOrder{Service: u.Service, To: u.To, Duration: u.Duration, Position: at}
}

// AppendMoveUpdate appends the encoding of a datagram with a move update from the listener at port.
func AppendMoveUpdate(buf []byte, port uint16, u *MoveUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, moveUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode move update")
}

// IsMoveUpdate reports whether a datagram holds a move update.
func IsMoveUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == moveUpdateVersion
}

// ParseMoveUpdate decodes a datagram for which IsMoveUpdate holds. It returns the address of the
// sender's listener and the update.
func ParseMoveUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *MoveUpdate, error) {
	u := &MoveUpdate{}
	sender, err := parseUpdate(data, from, u)
	return sender, u, errors.Wrap(err, "decode move update")
}
