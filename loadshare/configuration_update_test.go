package loadshare

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestConfigurationUpdate(t *testing.T) {
	origin := netip.MustParseAddrPort("127.0.0.1:7000")
	Convey("A configuration is decoded as it was encoded, and passed on a limited number of times", t, func() {
		u := ConfigurationUpdate{Version: 9, Era: 2, StoreNow: time.Minute, Content: bytes.Repeat([]byte(`{"routes":[]}`), 4000)}.Sent(origin)
		datagram, err := AppendConfigurationUpdate(nil, 7000, u)
		So(err, ShouldBeNil)
		So(IsConfigurationUpdate(datagram), ShouldBeTrue)
		So(IsLeavingUpdate(datagram), ShouldBeFalse)
		sender, decoded, err := ParseConfigurationUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(sender.Port(), ShouldEqual, 7000)
		So(decoded, ShouldResemble, u)
		hops := 0
		for next, ok := u.PassedOn(); ok; next, ok = next.PassedOn() {
			hops++
		}
		So(hops, ShouldEqual, maxRelayHops-1)
	})
	Convey("One that does not fit into a datagram is not sent", t, func() {
		content := make([]byte, 2*MaxConfigurationUpdateBytes)
		for i := range content {
			content[i] = byte(rand.N(256))
		}
		_, err := AppendConfigurationUpdate(nil, 7000, &ConfigurationUpdate{Content: content, Origin: origin})
		So(err, ShouldEqual, ErrUpdateTooLarge)
	})
	Convey("A datagram that was cut, or whose content grows beyond the bound, is malformed", t, func() {
		datagram, err := AppendConfigurationUpdate(nil, 7000, &ConfigurationUpdate{Content: []byte("{}"), Origin: origin})
		So(err, ShouldBeNil)
		_, _, err = ParseConfigurationUpdate(datagram[:len(datagram)-1], from)
		So(err, ShouldNotBeNil)
		datagram, err = AppendConfigurationUpdate(nil, 7000, &ConfigurationUpdate{Content: make([]byte, maxConfigurationBytes+1), Origin: origin})
		So(err, ShouldBeNil)
		_, _, err = ParseConfigurationUpdate(datagram, from)
		So(err, ShouldNotBeNil)
	})
}
