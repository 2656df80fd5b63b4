package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// FuzzDatagram sends the gateway datagrams as a peer might, whole, malformed or cut. One that panics would end the
// process: they are handled in a goroutine of their own.
func FuzzDatagram(f *testing.F) {
	changes := []directory.Change{{Entry: directory.Entry{ID: "i-1", Service: "m", Address: "10.0.0.1:80", Domain: "a", Slots: 4}}}
	update := loadshare.NewRegistryUpdate(storepos.Position{Era: 1, Revision: 1}, storepos.Position{Era: 1, Revision: 2}, changes)
	peer := netip.MustParseAddrPort("127.0.0.1:9")
	seed := func(data []byte, err error) {
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	seed(loadshare.AppendRegistryUpdate(nil, 9, update.Sent(peer)))
	seed(loadshare.AppendRegistryUpdate(nil, 9, &loadshare.RegistryUpdate{Adopted: &loadshare.Adoption{Lost: "i-1", Adopted: changes[0].Entry}}))
	seed(loadshare.AppendLimitUpdate(nil, 9, &loadshare.LimitUpdate{Service: 1, Renewal: &loadshare.LimitRenewal{Stamp: 1}}))
	seed(loadshare.AppendTrialUpdate(nil, 9, &loadshare.TrialUpdate{}))
	seed(loadshare.AppendCapacityUpdate(nil, 9, &loadshare.CapacityUpdate{Servers: []loadshare.ServerCapacity{{Server: 7}}}))
	for kind := range uint8(16) {
		seed(loadshare.Append(nil, 9, []loadshare.Message{{Kind: loadshare.Kind(kind), Server: 7, Value: 1 << 40, Tokens: 1}}), nil)
	}
	for version := range uint8(12) {
		seed([]byte{version, 0, 0, 0xa1, 0x01, 0xbf, 0xff}, nil)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { conn.Close() })
	g := New(Options{Host: "h", PeerConn: conn, Registry: &restoredRegistry{}, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Bounds: DefaultBounds()})
	f.Fuzz(func(_ *testing.T, data []byte) {
		// An error is how malformed ones end.
		_ = g.gossip.handleDatagram(time.Now(), data, peer)
	})
}
