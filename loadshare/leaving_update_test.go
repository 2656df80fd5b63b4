package loadshare

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
)

func TestLeavingUpdate(t *testing.T) {
	Convey("An update is decoded as it was encoded, and fits in a datagram with the longest ids", t, func() {
		u := &LeavingUpdate{}
		for range MaxLeavingServers {
			id := make([]byte, 40)
			u.Servers = append(u.Servers, directory.LeavingServer{ID: wigeonfork.BackendServerID(id), Born: 1764907200000})
		}
		datagram, err := AppendLeavingUpdate(nil, 7000, u)
		So(err, ShouldBeNil)
		So(len(datagram), ShouldBeLessThanOrEqualTo, 1400)
		So(IsLeavingUpdate(datagram), ShouldBeTrue)
		So(IsTrialUpdate(datagram), ShouldBeFalse)
		sender, decoded, err := ParseLeavingUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(sender.Port(), ShouldEqual, 7000)
		So(decoded, ShouldResemble, u)
	})
	Convey("A datagram that was cut is malformed", t, func() {
		datagram, err := AppendLeavingUpdate(nil, 7000, &LeavingUpdate{Servers: []directory.LeavingServer{{ID: "a", Born: 1}}})
		So(err, ShouldBeNil)
		_, _, err = ParseLeavingUpdate(datagram[:len(datagram)-1], from)
		So(err, ShouldNotBeNil)
	})
}
