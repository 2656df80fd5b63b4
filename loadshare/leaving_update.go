package loadshare

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/directory"
)

// MaxLeavingServers bounds the servers in a LeavingUpdate, so that it fits in a datagram.
const MaxLeavingServers = 24

// LeavingUpdate reports backend servers that have said in their answers that they leave. It has a datagram version of
// its own, so that entries of earlier versions ignore it.
type LeavingUpdate struct {
	Servers []directory.LeavingServer `cbor:"1,keyasint"`
}

// AppendLeavingUpdate appends the encoding of a datagram with an update from the listener at port.
func AppendLeavingUpdate(buf []byte, port uint16, u *LeavingUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, leavingUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode leaving update")
}

// IsLeavingUpdate reports whether a datagram holds a leaving update.
func IsLeavingUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == leavingUpdateVersion
}

// ParseLeavingUpdate decodes a datagram for which IsLeavingUpdate holds. It returns the address of the sender's
// listener and the update.
func ParseLeavingUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *LeavingUpdate, error) {
	u := &LeavingUpdate{}
	sender, err := parseUpdate(data, from, u)
	if err == nil && len(u.Servers) > MaxLeavingServers {
		err = errors.Newf("%d servers", len(u.Servers))
	}
	return sender, u, errors.Wrap(err, "decode leaving update")
}
