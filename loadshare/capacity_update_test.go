package loadshare

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/capacity"
)

func TestCapacityUpdate(t *testing.T) {
	update := &CapacityUpdate{}
	for range MaxCapacityServers {
		report := capacity.Report{Slowdown: 2.4999, Age: time.Minute + 1}
		update.Servers = append(update.Servers, ServerCapacity{Server: 1 << 63, Report: report})
	}
	Convey("The largest update is decoded as it was encoded, fits in a datagram, and is no other kind", t, func() {
		datagram, err := AppendCapacityUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		So(len(datagram), ShouldBeLessThanOrEqualTo, maxDatagramBytes)
		So(IsCapacityUpdate(datagram), ShouldBeTrue)
		So(IsLeavingUpdate(datagram), ShouldBeFalse)
		sender, parsed, err := ParseCapacityUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(sender.Port(), ShouldEqual, 7340)
		So(parsed, ShouldResemble, update)
	})
	Convey("An update with more servers, one that was cut, and one for a build without it are malformed", t, func() {
		datagram, err := AppendCapacityUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		_, _, err = ParseCapacityUpdate(datagram[:len(datagram)-1], from)
		So(err, ShouldNotBeNil)
		_, _, err = Parse(datagram, from)
		So(err, ShouldNotBeNil)
		larger := &CapacityUpdate{Servers: append(update.Servers, ServerCapacity{})}
		datagram, err = AppendCapacityUpdate(nil, 7340, larger)
		So(err, ShouldBeNil)
		_, _, err = ParseCapacityUpdate(datagram, from)
		So(err, ShouldNotBeNil)
	})
}
