package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/serverlimit"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// limitServers registers servers of a service that all name a limit of 0.
func (g *Gateway) limitServers(service wigeonfork.Model, ids ...serverID) {
	var entries []directory.Entry
	for _, id := range ids {
		entries = append(entries, directory.Entry{ID: id, Service: service, Address: "10.0.0.1:80", Domain: "a", Slots: 4})
	}
	g.fleet.replaceServers(time.Now(), entries)
	for _, id := range ids {
		g.limits.apply(bootTime(), bootTime(), id, serverlimit.Statement{Limited: true}, "own_answer")
	}
	g.limits.followLimits(bootTime())
}

// serviceOfPeersCoordinator returns a service whose requests a peer grants.
func (g *Gateway) serviceOfPeersCoordinator() wigeonfork.Model {
	service := wigeonfork.Model("plain")
	for g.gossip.owners(time.Now(), uint64(loadshare.HashService(service)), 1)[0] == g.gossip.self() {
		service += "+"
	}
	return service
}

// isLimitedError reports whether a choice found only servers that take no more requests.
func isLimitedError(err error) bool {
	var limited *limitedError
	return errors.As(err, &limited)
}

// Guards against requests that a limit has denied and that count all the same: as sent to their version in a move, as
// load, and as a prompt that the server has read.
func TestDeniedRequestIsNotCounted(t *testing.T) {
	Convey("A request that its server's limit denies leaves no trace at that server", t, func() {
		g := New(Options{Host: "h", Domain: "a", Bounds: DefaultBounds(), Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()})
		g.limitServers("plain", "i-1")
		const prefix = 9
		_, err := g.choose(context.Background(), &query{service: "plain", work: routing.Work{Prefixes: []routing.Prefix{{Hash: prefix, Tokens: 100}}}})
		So(isLimitedError(err), ShouldBeTrue)
		So(g.fleet.router.HasPrefix(prefix), ShouldBeFalse)
	})
}

// Guards against a request that asks a coordinator that is gone once for each limited server, one after another.
func TestSilentCoordinatorIsAskedOnce(t *testing.T) {
	Convey("A request that gets no answer from a coordinator is refused at once, however many servers name limits", t, func() {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		So(err, ShouldBeNil)
		defer conn.Close()
		g := New(Options{Host: "h", PeerConn: conn, Registry: &restoredRegistry{}, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Bounds: DefaultBounds()})
		for peer := range byte(40) {
			g.gossip.peers.Received(time.Now(), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, peer + 2}), 9))
		}
		service := g.serviceOfPeersCoordinator()
		g.limitServers(service, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
		_, err = g.choose(context.Background(), &query{service: service})
		So(isLimitedError(err), ShouldBeTrue)
		So(telemetry.Counter(g.options.Metrics, "limits.unanswered").Count(), ShouldEqual, 1)
	})
}

// Guards against a coordinator's grant that comes twice, or after its request has ended, and lets another request go.
func TestGrantIsUsedOnceAndInTime(t *testing.T) {
	Convey("Given a request that waits for its grant, and another one", t, func() {
		g := New(Options{Host: "h", Domain: "a", Bounds: DefaultBounds(), Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()})
		const id, otherID = 7, 8
		answer, other := make(chan serverlimit.Grant, 1), make(chan serverlimit.Grant, 1)
		g.limits.asks[id], g.limits.asks[otherID] = answer, other
		grant := &loadshare.LimitGrant{ID: id, Granted: true}
		Convey("A grant that comes twice reaches the first only, once", func() {
			g.limits.handleGrant(grant)
			g.limits.handleGrant(grant)
			So((<-answer).Granted, ShouldBeTrue)
			So(answer, ShouldBeEmpty)
			So(other, ShouldBeEmpty)
		})
		Convey("A grant that comes after its request has ended reaches nobody", func() {
			delete(g.limits.asks, id)
			g.limits.handleGrant(grant)
			So(answer, ShouldBeEmpty)
			So(other, ShouldBeEmpty)
		})
	})
}
