package gateway

import (
	"net"
	"sync"
	"sync/atomic"
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
	var told atomic.Int32
	var wait sync.WaitGroup
	for _, conn := range peers {
		wait.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, _, err := conn.ReadFromUDP(make([]byte, maxDatagram)); err == nil {
				told.Add(1)
			}
		})
	}
	wait.Wait()
	return int(told.Load())
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
		update := loadshare.NewRegistryUpdate(storepos.Position{Era: 1, Revision: 1}, storepos.Position{Era: 1, Revision: 2}, nil)
		Convey("some hear of changed servers, to pass that on", func() {
			direct := len(g.gossip.peers.RelayTargets(time.Now(), g.gossip.self()))
			So(direct, ShouldBeBetween, 1, others)
			g.gossip.sendRegistryUpdate(update)
			So(countTold(peers), ShouldEqual, direct)
		})
		Convey("what a peer has sent is passed on, until it was passed on often enough", func() {
			origin := peers[0].LocalAddr().(*net.UDPAddr).AddrPort()
			for i := range peers {
				// In the order from some origins this entry has peers below it, in that from others it has none.
				origin = peers[i].LocalAddr().(*net.UDPAddr).AddrPort()
				if len(g.gossip.peers.RelayTargets(time.Now(), origin)) > 0 {
					break
				}
			}
			below := len(g.gossip.peers.RelayTargets(time.Now(), origin))
			So(below, ShouldBeGreaterThan, 0)
			sent := update.Sent(origin)
			passed := 0
			for next, ok := sent, true; ok; next, ok = next.PassedOn() {
				datagram, err := loadshare.AppendRegistryUpdate(nil, origin.Port(), next)
				So(err, ShouldBeNil)
				So(g.gossip.handleDatagram(time.Now(), datagram, origin), ShouldBeNil)
				passed++
				if next.Hops > 1 {
					So(countTold(peers), ShouldEqual, below)
				} else {
					So(countTold(peers), ShouldEqual, 0)
				}
			}
			So(passed, ShouldEqual, int(sent.Hops))
		})
		Convey("all hear of the configuration that is read for them", func() {
			g.reportConfiguration(loadshare.Message{Kind: loadshare.ConfigCurrent}, readDue)
			So(countTold(peers), ShouldEqual, others)
		})
		Convey("fewer hear of it from each entry that was told so", func() {
			g.reportConfiguration(loadshare.Message{Kind: loadshare.ConfigCurrent}, readWoken)
			So(countTold(peers), ShouldEqual, loadshare.MaxTargets)
		})
	})
}
