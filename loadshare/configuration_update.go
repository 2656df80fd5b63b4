package loadshare

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxConfigurationUpdateBytes bounds the datagram of a configuration update. A larger
// configuration is not sent, so that each entry reads it from the store.
const MaxConfigurationUpdateBytes = 16 << 10

// maxConfigurationBytes bounds the content of a configuration update before compression.
const maxConfigurationBytes = 1 << 20

// ErrUpdateTooLarge means that a configuration does not fit into a datagram.
var ErrUpdateTooLarge = errors.New("the configuration does not fit into a datagram")

// ConfigurationUpdate holds a new version of the configuration, as one entry read it from
// the store. The other entries need not read it from the store, and those that cannot
// reach the store get it too.
type ConfigurationUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Era     uint64 `cbor:"2,keyasint"`
	// StoreNow is the store's clock when this version was the newest; 0 if that is not proven.
	StoreNow time.Duration `cbor:"3,keyasint,omitempty"`
	// Content is the stored row.
	Content []byte `cbor:"4,keyasint"`
	// Origin is the listener of the entry that read it, and Hops how often the update may
	// still be passed on.
	Origin netip.AddrPort `cbor:"5,keyasint"`
	Hops   uint8          `cbor:"6,keyasint"`
}

// Sent returns the update as its origin sends it.
func (u ConfigurationUpdate) Sent(origin netip.AddrPort) *ConfigurationUpdate {
	u.Origin, u.Hops = origin, maxRelayHops
	return &u
}

// PassedOn returns the update as an entry that received it passes it on, and false if it
// must not.
func (u ConfigurationUpdate) PassedOn() (*ConfigurationUpdate, bool) {
	if u.Hops <= 1 || u.Hops > maxRelayHops || !u.Origin.IsValid() {
		return nil, false
	}
	u.Hops--
	return &u, true
}

// AppendConfigurationUpdate appends the encoding of a datagram with an update from the
// listener at port. The error is ErrUpdateTooLarge if it does not fit.
func AppendConfigurationUpdate(buf []byte, port uint16, u *ConfigurationUpdate) ([]byte, error) {
	packed := *u
	var err error
	if packed.Content, err = compress(u.Content); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	datagram, err := appendUpdate(buf, configurationUpdateVersion, port, &packed)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration update")
	}
	if len(datagram)-len(buf) > MaxConfigurationUpdateBytes {
		return nil, ErrUpdateTooLarge
	}
	return datagram, nil
}

// IsConfigurationUpdate reports whether a datagram holds a configuration update.
func IsConfigurationUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == configurationUpdateVersion
}

// ParseConfigurationUpdate decodes a datagram for which IsConfigurationUpdate holds. It
// returns the address of the sender's listener and the update.
func ParseConfigurationUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *ConfigurationUpdate, error) {
	u := &ConfigurationUpdate{}
	sender, err := parseUpdate(data, from, u)
	if err != nil {
		return sender, nil, errors.Wrap(err, "decode configuration update")
	}
	u.Content, err = decompress(u.Content)
	return sender, u, errors.Wrap(err, "decompress the configuration")
}

func compress(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// decompress undoes compress. It fails on content of more than maxConfigurationBytes.
func decompress(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigurationBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxConfigurationBytes {
		return nil, ErrUpdateTooLarge
	}
	return content, nil
}
