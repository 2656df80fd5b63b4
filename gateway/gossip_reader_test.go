package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// startPeers makes a number of live peers known to g and returns their sockets.
func startPeers(t *testing.T, g *Gateway, n int) []*net.UDPConn {
	peers := make([]*net.UDPConn, n)
	for i := range peers {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		peers[i] = conn
		g.gossip.peers.Received(time.Now(), conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return peers
}

// countTold returns the number of peers that receive a datagram.
func countTold(peers []*net.UDPConn) int {
	told := 0
	for _, conn := range peers {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, _, err := conn.ReadFromUDP(make([]byte, maxDatagram)); err == nil {
			told++
		}
	}
	return told
}

// Guards against a large fleet in which each entry reads the store by itself, since the reports of the entry that
// reads for all reach some of the peers only.
func TestReaderTellsAllPeers(t *testing.T) {
	Convey("In a fleet that is larger than the entries that receive other messages", t, func() {
		const others = 2 * loadshare.MaxTargets
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		So(err, ShouldBeNil)
		defer conn.Close()
		g := New(Options{Host: "h", PeerConn: conn, Registry: &restoredRegistry{}, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Bounds: DefaultBounds()})
		peers := startPeers(t, g, others)
		Convey("all hear of changed servers", func() {
			g.gossip.sendRegistryUpdate(loadshare.NewRegistryUpdate(storepos.Position{Era: 1, Revision: 1}, storepos.Position{Era: 1, Revision: 2}, nil))
			So(countTold(peers), ShouldEqual, others)
		})
		Convey("all hear of the configuration in force", func() {
			g.gossip.sendConfigurationReport(loadshare.Message{Kind: loadshare.ConfigCurrent})
			So(countTold(peers), ShouldEqual, others)
		})
	})
}
