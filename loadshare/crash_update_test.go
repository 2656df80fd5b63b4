package loadshare

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// maxDatagramBytes is the size of a datagram that fits the MTU of every path.
const maxDatagramBytes = 1200

func TestCrashUpdate(t *testing.T) {
	from := netip.MustParseAddrPort("10.0.0.7:40000")
	now := time.Unix(1_800_000_000, 0)
	Convey("Reports keep their meaning at a peer whose clock differs", t, func() {
		crash := quarantine.Crash{
			Content: 5, Server: quarantine.ServerStart{ID: "i-1", Born: 17}, Began: now.Add(-2 * time.Second), At: now.Add(-time.Second),
		}
		update := &CrashUpdate{Reports: []CrashReport{CrashOf(now, crash), QuarantineOf(now, quarantine.Quarantine{Content: 6, Since: now})}}
		datagram, err := AppendCrashUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		So(IsCrashUpdate(datagram), ShouldBeTrue)
		So(IsRegistryUpdate(datagram), ShouldBeFalse)
		sender, parsed, err := ParseCrashUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(sender, ShouldResemble, netip.MustParseAddrPort("10.0.0.7:7340"))
		peerNow := now.Add(-time.Hour)
		l := quarantine.NewLimiter()
		for i := range parsed.Reports {
			So(parsed.Reports[i].Apply(peerNow, l), ShouldBeTrue)
			So(parsed.Reports[i].Apply(peerNow, l), ShouldBeFalse)
		}
		want := crash
		want.Began, want.At = crash.Began.Add(-time.Hour), crash.At.Add(-time.Hour)
		So(l.Losses(peerNow), ShouldResemble, []quarantine.Loss{{Crash: want, Confirmed: true, Counted: true}})
		So(l.Check(peerNow, 6).Action, ShouldEqual, quarantine.Refuse)
		done := CompletionOf(now, quarantine.Completion{Content: 6, At: now})
		So(done.Apply(peerNow.Add(time.Millisecond), l), ShouldBeTrue)
		So(l.Check(peerNow.Add(time.Millisecond), 6).Action, ShouldEqual, quarantine.Run)
	})
	Convey("The largest update fits in a datagram, and an earlier version rejects it", t, func() {
		server := quarantine.ServerStart{ID: wigeonfork.BackendServerID("i-0123456789abcdef"), Born: 1 << 50}
		update := &CrashUpdate{StateWanted: true}
		for range MaxCrashReports {
			update.Reports = append(update.Reports, CrashReport{
				Kind: ReportCrash, Content: 1 << 63, Age: time.Minute + 1, Ran: time.Minute + 1, Server: server, Begun: true, Trial: true,
			})
		}
		datagram, err := AppendCrashUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		So(len(datagram), ShouldBeLessThanOrEqualTo, maxDatagramBytes)
		_, _, err = Parse(datagram, from)
		So(err, ShouldNotBeNil)
	})
}

// Guards against reports that reach only the entries which hear of them directly, at the size to
// design for and with lost datagrams.
func TestForwardedReportsReachAllEntries(t *testing.T) {
	const entries, datagramLoss, rounds = 1100, 0.03, 20
	Convey("Of 1,100 entries at least 99% hear of a report, at less than 10 datagrams each", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		peers := make([][]netip.AddrPort, entries)
		for i := range peers {
			for _, other := range random.Perm(entries)[:MaxTargets] {
				peers[i] = append(peers[i], netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(other)))
			}
		}
		reached, datagrams := 0, 0
		for range rounds {
			heard := map[uint16]bool{0: true}
			type arrival struct {
				at     uint16
				report CrashReport
			}
			var queue []arrival
			send := func(targets []netip.AddrPort, report CrashReport) {
				for _, target := range targets {
					datagrams++
					if random.Float64() >= datagramLoss && !heard[target.Port()] {
						heard[target.Port()] = true
						queue = append(queue, arrival{target.Port(), report})
					}
				}
			}
			send(peers[0], CrashReport{Kind: ReportCrash})
			for len(queue) > 0 {
				next := queue[0]
				queue = queue[1:]
				if report, ok := next.report.PassedOn(); ok {
					send(ForwardTargets(slices.Clone(peers[next.at])), report)
				}
			}
			reached += len(heard)
		}
		t.Logf("reached %.4f, %.1f datagrams an entry", float64(reached)/(entries*rounds), float64(datagrams)/(entries*rounds))
		So(float64(reached), ShouldBeGreaterThanOrEqualTo, 0.99*entries*rounds)
		So(float64(datagrams), ShouldBeLessThan, 10*entries*rounds)
	})
}

func FuzzCrashUpdate(f *testing.F) {
	seed, err := AppendCrashUpdate(nil, 1, &CrashUpdate{Reports: []CrashReport{{Kind: ReportCrash, Content: 1, Age: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		if !IsCrashUpdate(data) {
			return
		}
		_, update, err := ParseCrashUpdate(data, netip.MustParseAddrPort("10.0.0.7:40000"))
		if err != nil {
			return
		}
		l := quarantine.NewLimiter()
		for i := range update.Reports {
			update.Reports[i].Apply(time.Unix(1_800_000_000, 0), l)
		}
	})
}
