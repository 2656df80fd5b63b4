package engine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
)

func TestFaultConditions(t *testing.T) {
	Convey("A fault applies only to its model, version, adapter, workspace, load and time", t, func() {
		inc := &incarnation{started: time.Now().Add(-time.Minute)}
		st := &stream{inc: inc, req: httpbackend.CompletionRequest{Model: "m", Version: "v", Adapter: "a", User: "w"}}
		inc.running.Store(3)
		matching := VersionFault{Model: "m", Version: "v", Adapter: "a", Workspace: "w", AboveRunning: 2, After: time.Second}
		So(matching.matches(st), ShouldBeTrue)
		So((&VersionFault{}).matches(st), ShouldBeTrue)
		for _, change := range []func(*VersionFault){
			func(f *VersionFault) { f.Model = "n" },
			func(f *VersionFault) { f.Version = "w" },
			func(f *VersionFault) { f.Adapter = "b" },
			func(f *VersionFault) { f.Workspace = "x" },
			func(f *VersionFault) { f.AboveRunning = 3 },
			func(f *VersionFault) { f.After = time.Hour },
		} {
			other := matching
			change(&other)
			So(other.matches(st), ShouldBeFalse)
		}
	})
	Convey("sampled returns true for about the given fraction of hashes", t, func() {
		hits := 0
		for key := range uint64(10000) {
			if sampled(splitmix64(key, 0), saltFail, 0.05) {
				hits++
			}
		}
		So(hits, ShouldBeBetween, 400, 600)
		So(sampled(1, saltFail, 0), ShouldBeFalse)
		So(sampled(1, saltFail, 1), ShouldBeTrue)
	})
	Convey("The time of a token grows with the batch and the slow factors", t, func() {
		options := Options{TokensPerSecond: 100, BatchSlowdown: 0.5, SlowFactor: 3}
		So(options.tokenTime(2, 1), ShouldEqual, 60*time.Millisecond)
		So(options.tokenTime(0, 2), ShouldEqual, 60*time.Millisecond)
		So((&Options{}).tokenTime(5, 9), ShouldEqual, 0)
	})
}

func TestCacheEventsAndLoadReports(t *testing.T) {
	Convey("Cache events are delayed, have gaps and include evictions", t, func() {
		cache := newPrefixCache()
		now := time.Unix(1000, 0)
		So(cache.fill([]uint64{1, 2, 3}, 3, now), ShouldEqual, 0)
		So(cache.fill([]uint64{1, 2, 9}, 3, now.Add(time.Second)), ShouldEqual, 2*httpbackend.PrefixBlockTokens)
		events := cache.eventsSince(0, 0, 0, now.Add(time.Second))
		So(len(events), ShouldEqual, 5)
		So(events[4], ShouldResemble, backend.CacheEvent{Sequence: 5, Prefix: 3, Tokens: 3 * httpbackend.PrefixBlockTokens, Removed: true})
		So(len(cache.eventsSince(0, time.Second, 0, now.Add(time.Second))), ShouldEqual, 3)
		kept := []uint64{}
		for _, event := range cache.eventsSince(1, 0, 2, now.Add(time.Second)) {
			kept = append(kept, event.Sequence)
		}
		So(kept, ShouldResemble, []uint64{3, 5})
		So(cache.utilization(3), ShouldEqual, 1)
	})
	Convey("A load report is reused until its age reaches the lag", t, func() {
		s := New(Options{LoadReportLag: time.Second})
		Reset(s.Close)
		now := time.Unix(1000, 0)
		So(s.loadReport(now).Slots, ShouldEqual, defaultSlots)
		s.Update(func(o *Options) { o.Slots = 2 })
		So(s.loadReport(now.Add(time.Second-1)).Slots, ShouldEqual, defaultSlots)
		So(s.loadReport(now.Add(time.Second)).Slots, ShouldEqual, 2)
	})
}
