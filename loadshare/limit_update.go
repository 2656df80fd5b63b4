package loadshare

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/serverlimit"
)

// MaxLimitReports bounds the reports in one LimitUpdate, so that its datagram fits the MTU of every path.
const MaxLimitReports = 16

// ServiceHash identifies a service in messages. It is the hash of its name.
type ServiceHash uint64

// HashService returns the hash of a service's name.
func HashService(name wigeonfork.Model) ServiceHash {
	return ServiceHash(xxhash.Sum64String(string(name)))
}

// LimitUpdate is a message about the limits on requests that servers name. It has a datagram version of its own, so that
// entries of earlier versions ignore it.
type LimitUpdate struct {
	// Reports are what servers said of their limits.
	Reports []LimitReport `cbor:"1,keyasint,omitempty"`
	// Service is that of the other fields, of which one is set.
	Service ServiceHash         `cbor:"2,keyasint,omitempty"`
	Renewal *LimitRenewal       `cbor:"3,keyasint,omitempty"`
	Answer  *LimitRenewalAnswer `cbor:"4,keyasint,omitempty"`
	Ask     *LimitAsk           `cbor:"5,keyasint,omitempty"`
	Grant   *LimitGrant         `cbor:"6,keyasint,omitempty"`
}

// LimitReport is what a server said of its limit. Clocks of entries differ, so times are ages.
type LimitReport struct {
	Server  wigeonfork.BackendServerID `cbor:"1,keyasint"`
	Limited bool                       `cbor:"2,keyasint,omitempty"`
	Rate    float64                    `cbor:"3,keyasint,omitempty"`
	// Age is the time since the server's answer when the report was sent.
	Age time.Duration `cbor:"4,keyasint"`
	// Passes is how often the report was passed on. Builds that don't count leave it out.
	Passes uint8 `cbor:"5,keyasint,omitempty"`
}

// PassedOn returns the report as an entry to which it is new passes it on, and false if it must not.
func (r LimitReport) PassedOn() (LimitReport, bool) {
	if !mayPassOn(r.Passes) {
		return r, false
	}
	r.Passes++
	return r, true
}

// Statement returns what the server said.
func (r *LimitReport) Statement() serverlimit.Statement {
	return serverlimit.Statement{Limited: r.Limited, Rate: r.Rate}
}

// LimitRenewal is a serverlimit.Renewal.
type LimitRenewal struct {
	Stamp       int64  `cbor:"1,keyasint,omitempty"`
	Member      bool   `cbor:"2,keyasint,omitempty"`
	Sum         uint64 `cbor:"3,keyasint"`
	Live        uint64 `cbor:"4,keyasint"`
	Unconfirmed bool   `cbor:"5,keyasint,omitempty"`
}

// LimitRenewalAnswer is a serverlimit.RenewalAnswer.
type LimitRenewalAnswer struct {
	Stamp  int64  `cbor:"1,keyasint"`
	New    bool   `cbor:"2,keyasint,omitempty"`
	Agreed bool   `cbor:"3,keyasint,omitempty"`
	Sum    uint64 `cbor:"4,keyasint"`
	Drop   bool   `cbor:"5,keyasint,omitempty"`
	Live   uint64 `cbor:"6,keyasint"`
}

// LimitAsk asks to send one request to a server.
type LimitAsk struct {
	ID     uint64                     `cbor:"1,keyasint"`
	Server wigeonfork.BackendServerID `cbor:"2,keyasint"`
	Rate   float64                    `cbor:"3,keyasint"`
}

// LimitGrant answers a LimitAsk.
type LimitGrant struct {
	ID         uint64        `cbor:"1,keyasint"`
	Granted    bool          `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// AppendLimitUpdate appends the encoding of a datagram with a limit update from the listener at port.
func AppendLimitUpdate(buf []byte, port uint16, u *LimitUpdate) ([]byte, error) {
	datagram, err := appendUpdate(buf, limitUpdateVersion, port, u)
	return datagram, errors.Wrap(err, "encode limit update")
}

// IsLimitUpdate reports whether a datagram holds a limit update.
func IsLimitUpdate(data []byte) bool {
	return len(data) > headerSize && data[0] == limitUpdateVersion
}

// ParseLimitUpdate decodes a datagram for which IsLimitUpdate holds. It returns the address of the sender's listener and
// the update.
func ParseLimitUpdate(data []byte, from netip.AddrPort) (netip.AddrPort, *LimitUpdate, error) {
	u := &LimitUpdate{}
	sender, err := parseUpdate(data, from, u)
	return sender, u, errors.Wrap(err, "decode limit update")
}
