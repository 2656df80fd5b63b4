package loadshare

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a roll-out in which entries of an earlier version drop whole datagrams, and with them what they know.
func TestOccupancyTravelsApart(t *testing.T) {
	Convey("Messages of ends and copies are encoded in datagrams that an earlier version ignores", t, func() {
		all := []Message{{Kind: Started, Server: 1, Tokens: 9}, {Kind: Ended, Server: 1, Value: 4}, {Kind: Lost, Server: 2}, {Kind: CopyKept, Server: 3, Tokens: 5}}
		plain, occupancy := SplitOccupancy(all)
		So(plain, ShouldResemble, []Message{all[0], all[2]})
		So(occupancy, ShouldResemble, []Message{all[1], all[3]})
		datagram := AppendOccupancy(nil, 7000, occupancy)
		So(datagram[0], ShouldNotEqual, wireVersion)
		sender, decoded, err := Parse(datagram, from)
		So(err, ShouldBeNil)
		So(sender.Port(), ShouldEqual, 7000)
		So(decoded, ShouldResemble, occupancy)
	})
	Convey("A message in a datagram of the other version is malformed", t, func() {
		_, _, err := Parse(Append(nil, 7000, []Message{{Kind: Ended}}), from)
		So(err, ShouldNotBeNil)
		_, _, err = Parse(AppendOccupancy(nil, 7000, []Message{{Kind: Started}}), from)
		So(err, ShouldNotBeNil)
	})
}
