package loadshare

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/capacity"
)

// MaxCapacityServers bounds the servers in a CapacityUpdate, so that it fits in a datagram.
const MaxCapacityServers = 20

// CapacityUpdate holds the slowdowns that backend servers reported to the sender. It has a datagram version of its own, so that
// entries of earlier versions ignore it. It is a hint: if one is
// lost or late, requests are placed less well and nothing else changes.
type CapacityUpdate struct {
	Servers []ServerCapacity `cbor:"1,keyasint"`
}

// ServerCapacity is the report of one server.
type ServerCapacity struct {
	Server ServerHash      `cbor:"1,keyasint"`
	Report capacity.Report `cbor:"2,keyasint"`
}

// AppendCapacityUpdate appends the encoding of a datagram with an update from the listener at port.
func AppendCapacityUpdate(buf []byte, port uint16, u *CapacityUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, capacityUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode capacity update")
}

// IsCapacityUpdate reports whether a datagram holds a capacity update.
func IsCapacityUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == capacityUpdateVersion
}

// ParseCapacityUpdate decodes a datagram for which IsCapacityUpdate holds. It returns the address of the sender's
// listener and the update.
func ParseCapacityUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *CapacityUpdate, error) {
	u := &CapacityUpdate{}
	sender, err := parseUpdate(data, from, u)
	if err == nil && len(u.Servers) > MaxCapacityServers {
		err = errors.Newf("%d servers", len(u.Servers))
	}
	return sender, u, errors.Wrap(err, "decode capacity update")
}
