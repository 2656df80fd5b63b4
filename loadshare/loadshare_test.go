package loadshare

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
)

var (
	start = time.Unix(1000, 0)
	from  = netip.MustParseAddrPort("10.0.0.9:40000")
)

func address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000)
}

func TestDatagramEncoding(t *testing.T) {
	Convey("Messages are decoded unchanged, with the address of the sender's listener", t, func() {
		sent := []Message{{Kind: Started, Server: 7, Tokens: 8000, Value: 1 << 60}, {Kind: Lost, Server: 1 << 63}}
		sender, messages, err := Parse(Append(nil, 7000, sent), from)
		So(err, ShouldBeNil)
		So(messages, ShouldResemble, sent)
		So(sender, ShouldEqual, netip.MustParseAddrPort("10.0.0.9:7000"))
	})
	Convey("Malformed datagrams are rejected", t, func() {
		good := Append(nil, 7000, []Message{{Kind: Heartbeat}})
		for _, bad := range [][]byte{nil, {1}, good[:len(good)-1], append([]byte{9}, good[1:]...), append(append([]byte{}, good...), 0)} {
			_, _, err := Parse(bad, from)
			So(err, ShouldNotBeNil)
		}
		unknown := Append(nil, 7000, []Message{{Kind: 99}})
		_, _, err := Parse(unknown, from)
		So(err, ShouldNotBeNil)
	})
	Convey("A registry update is decoded unchanged, or as partial if it did not fit", t, func() {
		entry := directory.Entry{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 64, Born: 5}
		sent := &RegistryUpdate{From: 3, To: 9, Changes: []directory.Change{{Entry: entry}, {Entry: directory.Entry{ID: "i-2"}, Removed: true}}}
		data, err := AppendRegistryUpdate(nil, 7000, sent)
		So(err, ShouldBeNil)
		So(IsRegistryUpdate(data), ShouldBeTrue)
		_, got, err := ParseRegistryUpdate(data, from)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, sent)
		for range 1000 {
			entry.ID += "x"
			sent.Changes = append(sent.Changes, directory.Change{Entry: directory.Entry{ID: wigeonfork.BackendServerID(entry.ID)}})
		}
		data, err = AppendRegistryUpdate(nil, 7000, sent)
		So(err, ShouldBeNil)
		_, got, err = ParseRegistryUpdate(data, from)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, &RegistryUpdate{From: 3, To: 9, Partial: true})
	})
}

func TestPeers(t *testing.T) {
	Convey("A peer is live while datagrams arrive from it", t, func() {
		p := NewPeers(address(1))
		p.Add(address(1))
		p.Add(address(2))
		So(p.Known(), ShouldEqual, 1)
		So(p.Live(start), ShouldEqual, 0)
		So(p.Received(start, address(2)), ShouldBeTrue)
		So(p.Received(start.Add(time.Second), address(2)), ShouldBeFalse)
		So(p.Targets(start.Add(2*time.Second)), ShouldResemble, []netip.AddrPort{address(2)})
		So(p.Live(start.Add(time.Second+PeerTimeout)), ShouldEqual, 0)
	})
	Convey("Heartbeats go often to live peers and seldom to the others", t, func() {
		p := NewPeers(address(1))
		p.Add(address(2))
		p.Add(address(3))
		So(len(p.HeartbeatsDue(start)), ShouldEqual, 2)
		p.Received(start, address(2))
		So(p.HeartbeatsDue(start.Add(HeartbeatInterval)), ShouldResemble, []netip.AddrPort{address(2)})
	})
	Convey("Each entry has a rank of its own in the common order", t, func() {
		ranks := map[int]bool{}
		for i := byte(1); i <= 5; i++ {
			p := NewPeers(address(i))
			for j := byte(1); j <= 5; j++ {
				p.Received(start, address(j))
			}
			ranks[p.Rank(start)] = true
		}
		So(len(ranks), ShouldEqual, 5)
	})
	Convey("The number of targets is bounded, however many peers there are", t, func() {
		p := NewPeers(address(255))
		for i := range byte(200) {
			p.Received(start, address(i))
		}
		So(len(p.Targets(start)), ShouldEqual, MaxTargets)
	})
}

// TestReadSchedule guards against a load on the store that grows with the number of entries.
func TestReadSchedule(t *testing.T) {
	const interval = time.Second
	simulateReads := func(entries int, failed int) (reads int, longestGap time.Duration) {
		schedules := make([]*ReadSchedule, entries)
		for i := range schedules {
			schedules[i] = NewReadSchedule(interval)
			schedules[i].RecordRead(start)
		}
		last := start
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for rank := failed; rank < entries; rank++ {
				if now.Before(schedules[rank].Due(rank)) {
					continue
				}
				reads++
				longestGap = max(longestGap, now.Sub(last))
				last = now
				for _, schedule := range schedules {
					schedule.RecordRead(now)
				}
			}
		}
		return reads, longestGap
	}
	Convey("One of many entries reads at each interval", t, func() {
		reads, longestGap := simulateReads(40, 0)
		So(reads, ShouldBeBetween, 28, 31)
		So(longestGap, ShouldBeLessThanOrEqualTo, interval+10*time.Millisecond)
	})
	Convey("If the first entries have failed, the next one reads soon after", t, func() {
		reads, longestGap := simulateReads(40, 2)
		So(reads, ShouldBeBetween, 15, 31)
		So(longestGap, ShouldBeLessThan, 2*interval)
	})
	Convey("An entry without a recorded read reads at once", t, func() {
		So(NewReadSchedule(interval).Due(3), ShouldEqual, time.Time{})
	})
}

// Guards against an interval after which the last entries in rank read too late for the limit, if all
// before them have failed.
func TestEachRankReadsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.Int64Range(int64(1500*time.Millisecond), int64(20*time.Second)).Draw(t, "limit"))
		reserve := time.Duration(rapid.Int64Range(0, int64(700*time.Millisecond)).Draw(t, "reserve"))
		rank := rapid.IntRange(0, 1100).Draw(t, "rank")
		schedule := NewReadSchedule(IntervalWithin(limit, reserve))
		schedule.RecordRead(start)
		if end := schedule.Due(rank).Add(reserve); end.After(start.Add(limit)) {
			t.Fatalf("rank %d has read %v after the last read", rank, end.Sub(start))
		}
	})
}
