package loadshare

import (
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

func TestPartUpdate(t *testing.T) {
	from := netip.MustParseAddrPort("10.0.0.7:40000")
	now := time.Unix(1_800_000_000, 0)
	peerNow := now.Add(-time.Hour)
	Convey("Reports keep their meaning at a peer whose clock differs", t, func() {
		crash := quarantine.PartCrash{
			Content: 5, Server: quarantine.ServerStart{ID: "i-1", Born: 17}, Parts: []quarantine.PartID{3, 4}, At: now.Add(-time.Second), WithOthers: true,
		}
		begin := quarantine.PartBegin{Parts: []quarantine.PartID{7}, At: now.Add(-time.Minute)}
		q := quarantine.PartQuarantine{Parts: []quarantine.PartID{8, 9}, Since: now.Add(-2 * time.Second), Trials: 2}
		update := &PartUpdate{Reports: append(PartCrashOf(now, &crash), append(PartBeginOf(now, begin), PartQuarantineOf(now, &q))...)}
		datagram, err := AppendPartUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		So(IsPartUpdate(datagram), ShouldBeTrue)
		So(IsCrashUpdate(datagram), ShouldBeFalse)
		sender, parsed, err := ParsePartUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(sender, ShouldResemble, netip.MustParseAddrPort("10.0.0.7:7340"))
		So(len(parsed.Reports), ShouldEqual, 3)
		crash.At, begin.At, q.Since = crash.At.Add(-time.Hour), begin.At.Add(-time.Hour), q.Since.Add(-time.Hour)
		begin.Told = true
		So(parsed.Reports[0].Crash(peerNow), ShouldResemble, crash)
		So(parsed.Reports[1].Begin(peerNow), ShouldResemble, begin)
		So(parsed.Reports[2].Quarantine(peerNow), ShouldResemble, q)
	})
	Convey("A crash of a run with many parts is reported in full", t, func() {
		parts := make([]quarantine.PartID, quarantine.MaxParts)
		for i := range parts {
			parts[i] = quarantine.PartID(i)
		}
		var reported []quarantine.PartID
		for _, r := range PartCrashOf(now, &quarantine.PartCrash{Parts: parts, At: now}) {
			So(len(r.Parts), ShouldBeLessThanOrEqualTo, maxReportParts)
			reported = append(reported, r.Parts...)
		}
		So(reported, ShouldResemble, parts)
	})
	Convey("The largest update fits in a datagram, and earlier versions ignore it", t, func() {
		report := PartReport{
			Kind: ReportPartCrash, Age: time.Minute + 1, Content: math.MaxUint64, WithOthers: true, Trials: math.MaxInt64,
			Server: quarantine.ServerStart{ID: "i-0123456789abcdef0123456789abcdef", Born: 1 << 50},
		}
		for range maxReportParts {
			report.Parts = append(report.Parts, math.MaxUint64)
		}
		update := &PartUpdate{}
		for range MaxPartReports {
			update.Reports = append(update.Reports, report)
		}
		datagram, err := AppendPartUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		t.Logf("%d bytes", len(datagram))
		So(len(datagram), ShouldBeLessThanOrEqualTo, maxDatagramBytes)
		_, _, err = Parse(datagram, from)
		So(err, ShouldNotBeNil)
	})
	Convey("Updates with too many reports, or reports with no or too many parts, are malformed", t, func() {
		report := PartReport{Kind: ReportPartBegin, Parts: []quarantine.PartID{1}}
		many := make([]PartReport, MaxPartReports+1)
		for i := range many {
			many[i] = report
		}
		wide := report
		wide.Parts = make([]quarantine.PartID, maxReportParts+1)
		for _, reports := range [][]PartReport{many, {wide}, {{Kind: ReportPartBegin}}} {
			datagram, err := AppendPartUpdate(nil, 7340, &PartUpdate{Reports: reports})
			So(err, ShouldBeNil)
			_, _, err = ParsePartUpdate(datagram, from)
			So(err, ShouldNotBeNil)
		}
	})
}

func FuzzPartUpdate(f *testing.F) {
	seed, err := AppendPartUpdate(nil, 1, &PartUpdate{Reports: []PartReport{{Kind: ReportPartCrash, Parts: []quarantine.PartID{1, 2}, Content: 1, Age: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		if !IsPartUpdate(data) {
			return
		}
		_, update, err := ParsePartUpdate(data, netip.MustParseAddrPort("10.0.0.7:40000"))
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		l := quarantine.NewPartLimiter()
		for i := range update.Reports {
			r := &update.Reports[i]
			l.Merge(now, r.Crash(now))
			l.MergeQuarantine(now, r.Quarantine(now))
			l.Begin(r.Begin(now))
			l.Check(now, r.Parts, true)
		}
		l.Verdicts(now)
	})
}
