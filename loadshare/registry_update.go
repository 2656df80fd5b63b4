package loadshare

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
)

// MaxRegistryUpdateBytes bounds the datagram of a reading; one that does not fit is told
// without its changes.
const MaxRegistryUpdateBytes = 16 << 10

// RegistryUpdate is what one entry read of the registered servers: all that changed after
// revision From up to revision To.
type RegistryUpdate struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Partial says that the changes did not fit and must be read.
	Partial bool               `cbor:"3,keyasint,omitempty"`
	Changes []directory.Change `cbor:"4,keyasint,omitempty"`
	// Adopted is set alone: the sender met a server that is not registered yet.
	Adopted *Adoption `cbor:"5,keyasint,omitempty"`
}

// Adoption says that another server answers at a lost one's address.
type Adoption struct {
	Lost    wigeonfork.BackendServerID `cbor:"1,keyasint"`
	Adopted directory.Entry            `cbor:"2,keyasint"`
}

// AppendRegistryUpdate encodes a datagram with a reading from the listener at port.
func AppendRegistryUpdate(buf []byte, port uint16, r *RegistryUpdate) ([]byte, error) {
	buf = append(buf, registryUpdateVersion)
	buf = binary.LittleEndian.AppendUint16(buf, port)
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode reading")
	}
	if len(buf)+len(body) > MaxRegistryUpdateBytes {
		return AppendRegistryUpdate(buf[:0], port, &RegistryUpdate{From: r.From, To: r.To, Partial: true})
	}
	return append(buf, body...), nil
}

// IsRegistryUpdate tells whether a datagram holds a reading.
func IsRegistryUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == registryUpdateVersion
}

// ParseRegistryUpdate decodes a datagram for which IsReading holds.
func ParseRegistryUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *RegistryUpdate, error) {
	sender := netip.AddrPortFrom(from.Addr().Unmap(), binary.LittleEndian.Uint16(data[1:]))
	r := &RegistryUpdate{}
	if err := cbor.Unmarshal(data[headerSize:], r); err != nil {
		return sender, nil, errors.Wrap(err, "decode reading")
	}
	return sender, r, nil
}
