package loadshare

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// MaxRegistryUpdateBytes bounds the datagram of a registry update. An update that does not fit
// is sent without its changes.
const MaxRegistryUpdateBytes = 16 << 10

// RegistryUpdate reports what one entry read from the registry of backend servers: all changes
// after revision From of era FromEra up to revision To of era ToEra.
type RegistryUpdate struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Partial is set if the changes did not fit and must be read from the registry.
	Partial bool               `cbor:"3,keyasint,omitempty"`
	Changes []directory.Change `cbor:"4,keyasint,omitempty"`
	// Adopted reports a server that the sender discovered before the registry listed it. If it is
	// set, no other field is.
	Adopted *Adoption `cbor:"5,keyasint,omitempty"`
	// FromEra and ToEra are the eras of From and To. Builds without eras ignore them.
	FromEra uint64 `cbor:"6,keyasint,omitempty"`
	ToEra   uint64 `cbor:"7,keyasint,omitempty"`
	// Origin is the listener of the entry that made the update, and Hops how often it may still be passed
	// on. Builds that don't pass updates on leave both out.
	Origin netip.AddrPort `cbor:"8,keyasint,omitzero"`
	Hops   uint8          `cbor:"9,keyasint,omitempty"`
}

// Sent returns the update as its origin sends it.
func (r RegistryUpdate) Sent(origin netip.AddrPort) *RegistryUpdate {
	r.Origin, r.Hops = origin, maxRelayHops
	return &r
}

// PassedOn returns the update as an entry that received it passes it on, and false if it must not.
func (r RegistryUpdate) PassedOn() (*RegistryUpdate, bool) {
	if r.Hops <= 1 || r.Hops > maxRelayHops || !r.Origin.IsValid() {
		return nil, false
	}
	r.Hops--
	return &r, true
}

// NewRegistryUpdate returns an update with the changes after from up to to.
func NewRegistryUpdate(from, to storepos.Position, changes []directory.Change) *RegistryUpdate {
	return &RegistryUpdate{From: from.Revision, FromEra: from.Era, To: to.Revision, ToEra: to.Era, Changes: changes}
}

// Span returns the positions between which the changes are.
func (r *RegistryUpdate) Span() (from, to storepos.Position) {
	return storepos.Position{Era: r.FromEra, Revision: r.From}, storepos.Position{Era: r.ToEra, Revision: r.To}
}

// Adoption reports that another server responds at the address of a lost one.
type Adoption struct {
	Lost    wigeonfork.BackendServerID `cbor:"1,keyasint"`
	Adopted directory.Entry            `cbor:"2,keyasint"`
	// Since is the time from the lost server's last sign of life at the sender to the adopted one's answer. Builds that
	// adopt without that proof leave it out.
	Since time.Duration `cbor:"3,keyasint,omitempty"`
}

// AppendRegistryUpdate appends the encoding of a datagram with a registry update from the
// listener at port.
func AppendRegistryUpdate(buf []byte, port uint16, r *RegistryUpdate) ([]byte, error) {
	full, err := appendUpdate(buf, registryUpdateVersion, port, r)
	if err != nil {
		return nil, errors.Wrap(err, "encode registry update")
	}
	if len(full) > MaxRegistryUpdateBytes {
		return AppendRegistryUpdate(buf[:0], port, &RegistryUpdate{
			From: r.From, FromEra: r.FromEra, To: r.To, ToEra: r.ToEra, Partial: true, Origin: r.Origin, Hops: r.Hops,
		})
	}
	return full, nil
}

// IsRegistryUpdate reports whether a datagram holds a registry update.
func IsRegistryUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == registryUpdateVersion
}

// ParseRegistryUpdate decodes a datagram for which IsRegistryUpdate holds. It returns the address
// of the sender's listener and the update.
func ParseRegistryUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *RegistryUpdate, error) {
	r := &RegistryUpdate{}
	sender, err := parseUpdate(data, from, r)
	return sender, r, errors.Wrap(err, "decode registry update")
}

// appendUpdate appends a datagram whose body is encoded as CBOR.
func appendUpdate(buf []byte, version byte, port uint16, update any) ([]byte, error) {
	body, err := cbor.Marshal(update)
	if err != nil {
		return nil, err
	}
	buf = append(buf, version)
	buf = binary.LittleEndian.AppendUint16(buf, port)
	return append(buf, body...), nil
}

// parseUpdate decodes a datagram of appendUpdate into update and returns the address of the
// sender's listener.
func parseUpdate(data []byte, from netip.AddrPort, update any) (netip.AddrPort, error) {
	sender := netip.AddrPortFrom(from.Addr().Unmap(), binary.LittleEndian.Uint16(data[1:]))
	return sender, cbor.Unmarshal(data[headerSize:], update)
}
