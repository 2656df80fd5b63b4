package entry

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// startGossip starts an entry that only exchanges quarantine updates, with its control connection
// at address. It returns the entry and a function that ends it.
func startGossip(t *testing.T, host wigeonfork.HostID, address string) (*Entry, func()) {
	e, err := New(Options{
		Host:        host,
		HandleKey:   bytes.Repeat([]byte{1}, generation.MinKeyBytes),
		Credentials: peer.Credentials{Peer: "p"},
		Log:         telemetry.NewLogger(io.Discard, "info", "test", string(host)),
		Metrics:     metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e.self = infra.Host{ID: host, ControlAddress: listener.Addr().String()}
	go func() { _ = e.control.Serve(listener) }()
	return e, func() {
		e.control.Close()
		e.pool.Close()
		e.peers.Close()
		e.config.Close()
	}
}

const shareLimit = 5 * time.Second

// shareUntilSuspects exchanges updates until the receiver knows n suspects or shareLimit has passed.
// It returns the suspects that the receiver knows.
func shareUntilSuspects(from, to *Entry, n int) int {
	for deadline := time.Now().Add(shareLimit); ; time.Sleep(5 * time.Millisecond) {
		to.gossip.sendDelta(from.self.ControlAddress)
		from.gossip.sendDelta(to.self.ControlAddress)
		if _, stats := to.gate.Stats(); stats.Suspects >= n || time.Now().After(deadline) {
			return stats.Suspects
		}
	}
}

// TestRestartedEntryReceivesQuarantine guards against requests that crash engines again after an
// entry has restarted at its address: the others took it for one that knows what it had acknowledged.
func TestRestartedEntryReceivesQuarantine(t *testing.T) {
	Convey("An entry that restarts at the same address receives the state of the quarantine again", t, func() {
		sender, endSender := startGossip(t, "a", "127.0.0.1:0")
		defer endSender()
		sender.gate.EngineDied(time.Now(), quarantine.Death{
			ID:        quarantine.DeathID{Server: "s", Incarnation: "i"},
			Residents: []quarantine.Resident{{Key: quarantine.Key{Version: "v"}, Ran: time.Second}},
		})
		first, endFirst := startGossip(t, "b", "127.0.0.1:0")
		So(shareUntilSuspects(sender, first, 1), ShouldEqual, 1)
		endFirst()

		second, endSecond := startGossip(t, "b", first.self.ControlAddress)
		defer endSecond()
		So(shareUntilSuspects(sender, second, 1), ShouldEqual, 1)
	})
}
