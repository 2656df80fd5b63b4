package loadshare

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
)

func TestWatchAssignment(t *testing.T) {
	Convey("Each lost server has its watchers, and the entries share the load", t, func() {
		for _, entries := range []int{1, 2, 3, 4, 31, 300} {
			const servers = 1000
			covered := make([]int, servers)
			for rank := range entries {
				own := 0
				for i := range servers {
					if (WatchAssignment{Rank: rank, Peers: entries - 1}).Covers(ServerHash(i * 7919)) {
						covered[i]++
						own++
					}
				}
				So(own, ShouldBeLessThanOrEqualTo, 2*watchersPerServer*servers/entries+watchersPerServer)
			}
			for _, n := range covered {
				So(n, ShouldEqual, min(entries, watchersPerServer))
			}
		}
	})
	Convey("An adoption is decoded unchanged", t, func() {
		sent := &Adoption{Lost: "i-1", Adopted: directory.Entry{ID: "i-2", Service: "s", Address: "10.0.0.1:80", Slots: 64, Born: 5}, Since: time.Second}
		data, err := AppendRegistryUpdate(nil, 7000, &RegistryUpdate{Adopted: sent})
		So(err, ShouldBeNil)
		_, got, err := ParseRegistryUpdate(data, netip.MustParseAddrPort("10.0.0.9:1"))
		So(err, ShouldBeNil)
		So(got.Adopted, ShouldResemble, sent)
	})
}
