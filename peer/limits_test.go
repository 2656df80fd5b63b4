package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// patience bounds each wait for something that must come about.
const patience = 20 * time.Second

func startServer(limits intake.Limits) (address string, guard *intake.Guard) {
	guard = intake.NewAccount(limits, telemetry.Discard(), telemetry.NewRegistry()).Guard(intake.Peers)
	server := NewServer(Credentials{Peer: "secret of the peers"}, guard)
	Handle(server, "length", RolePeer, func(_ context.Context, _ *Session, text string) (int, error) { return len(text), nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() { _ = server.Serve(listener) }()
	Reset(server.Close)
	return listener.Addr().String(), guard
}

func dialPeer(address string) (*Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return Dial(ctx, address, Handshake{ID: "peer", Role: RolePeer, Credential: "secret of the peers"}, nil)
}

// errBodyRead is the error of a reader that must not be read.
var errBodyRead = errors.New("the message is read")

// TestStrangersSendAHandshakeOnly guards against strangers that make a process hold messages, and against limits that refuse
// those of peers.
func TestStrangersSendAHandshakeOnly(t *testing.T) {
	Convey("A stranger's message that is larger than a handshake is refused before it is read", t, func() {
		stranger := &connHandler{}
		codec := limitedCodec{maxBytes: stranger.maxMessageBytes}
		head := fmt.Sprintf("Content-Length: %d\r\n\r\n", maxHandshakeBytes+1)
		var message json.RawMessage
		// A read beyond the head would return the error of the reader.
		err := codec.ReadObject(bufio.NewReader(io.MultiReader(strings.NewReader(head), iotest.ErrReader(errBodyRead))), &message)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, errBodyRead), ShouldBeFalse)
		stranger.authenticated = true
		err = codec.ReadObject(bufio.NewReader(io.MultiReader(strings.NewReader(head), iotest.ErrReader(errBodyRead))), &message)
		So(errors.Is(err, errBodyRead), ShouldBeTrue)
	})
	Convey("A peer's messages may be larger", t, func() {
		address, _ := startServer(intake.Limits{})
		client, err := dialPeer(address)
		So(err, ShouldBeNil)
		defer client.Close()
		var length int
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		So(client.Call(ctx, "length", strings.Repeat("x", 1<<20), &length), ShouldBeNil)
		So(length, ShouldEqual, 1<<20)
	})
}

// TestPeersKeepTheirConnectionsBesideStrangers guards against strangers that use up the connections of peers.
func TestPeersKeepTheirConnectionsBesideStrangers(t *testing.T) {
	Convey("Given a peer and more strangers than there may be connections", t, func() {
		const most = 16
		address, guard := startServer(intake.Limits{Descriptors: 4 * most})
		client, err := dialPeer(address)
		So(err, ShouldBeNil)
		defer client.Close()
		for range 3 * most {
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer conn.Close()
		}
		second, err := dialPeer(address)
		So(err, ShouldBeNil)
		defer second.Close()
		Convey("peers old and new are served, and the limit holds", func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for _, c := range []*Client{client, second} {
				var length int
				So(c.Call(ctx, "length", "abc", &length), ShouldBeNil)
				So(length, ShouldEqual, 3)
			}
			So(guard.Usage().Open, ShouldBeLessThanOrEqualTo, most)
		})
	})
}
