package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// verdict returns the verdict on an answer that is made at once.
func verdict(v *Verifier, at Instant, era, version, writtenAt uint64, inForce uint64) Verdict {
	got, _ := v.Observe(Answer{Era: era, Revision: 100, Version: version, WrittenAt: writtenAt, Sent: at, StoreNow: time.Duration(at)}, inForce)
	return got
}

// Guards against a copy of the store that is taken for proof that a revoked key is still valid.
func TestCopyIsNoProof(t *testing.T) {
	Convey("Every answer of the first era is proof, also of a store without eras", t, func() {
		So(verdict(&Verifier{}, 0, 0, 5, 90, 5), ShouldEqual, Proven)
		So(verdict(&Verifier{}, 0, 7, 5, 90, 5), ShouldEqual, Proven)
	})
	Convey("In a new era, the same version is proof once it was written again, or after the timeout", t, func() {
		v := &Verifier{}
		verdict(v, 0, 1, 5, 90, 5)
		So(verdict(v, 100*ms, 2, 5, 90, 5), ShouldEqual, Unproven)
		So(verdict(v, 200*ms, 2, 5, 101, 5), ShouldEqual, Proven)
		So(verdict(v, 300*ms, 2, 0, 0, 5), ShouldEqual, Proven)
		So(verdict(v, 400*ms, 3, 5, 90, 5), ShouldEqual, Unproven)
		So(verdict(v, 400*ms+Instant(RewriteTimeout), 3, 0, 0, 5), ShouldEqual, Proven)
	})
	Convey("An older version than the one in force is never proof", t, func() {
		v := &Verifier{}
		verdict(v, 0, 1, 5, 90, 5)
		So(verdict(v, 100*ms, 2, 3, 90, 5), ShouldEqual, Unproven)
		So(verdict(v, 9000*ms, 2, 3, 90, 5), ShouldEqual, Unproven)
		So(verdict(v, 9100*ms, 2, 5, 120, 5), ShouldEqual, Proven)
	})
	Convey("A read after a peer's report that doesn't show the reported version makes the configuration outdated", t, func() {
		v := &Verifier{}
		So(verdict(v, 0, 2, 3, 90, 3), ShouldEqual, Proven)
		v.ObservePeer(10*ms, 5)
		So(verdict(v, 9*ms, 2, 3, 90, 3), ShouldEqual, Unproven)
		So(verdict(v, 20*ms, 2, 3, 90, 3), ShouldEqual, Outdated)
		So(verdict(v, 30*ms, 2, 5, 120, 5), ShouldEqual, Proven)
	})
	Convey("It does not if the era began while the process ran: what was proven before the restore holds", t, func() {
		v := &Verifier{}
		verdict(v, 0, 1, 3, 90, 3)
		v.ObservePeer(10*ms, 5)
		So(verdict(v, 20*ms, 2, 3, 80, 3), ShouldEqual, Unproven)
	})
	Convey("An answer of an earlier era is not used", t, func() {
		v := &Verifier{}
		verdict(v, 0, 2, 5, 90, 5)
		So(verdict(v, 10*ms, 1, 9, 95, 9), ShouldEqual, Stale)
	})
}

// TestProofIsNeverOlderThanTheReports draws answers of any eras and reports in any order. It checks
// that no answer is proof that shows an older version than one that is known.
func TestProofIsNeverOlderThanTheReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &Verifier{}
		now, inForce, reported, newest := Instant(0), uint64(0), uint64(0), uint64(0)
		shown := map[uint64]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += Instant(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "pause"))
			version := rapid.Uint64Range(0, 6).Draw(t, "version")
			if rapid.Bool().Draw(t, "reported by a peer") {
				v.ObservePeer(now, version)
				reported = max(reported, version)
				continue
			}
			era := rapid.Uint64Range(0, 4).Draw(t, "era")
			shown[era] = max(shown[era], version)
			got := verdict(v, now, era, version, rapid.Uint64Range(0, 200).Draw(t, "written at"), max(inForce, version))
			if (got == Stale) != (era < newest) {
				t.Fatalf("answer of era %d after era %d is %v", era, newest, got)
			}
			newest = max(newest, era)
			if got != Stale {
				inForce = max(inForce, version)
			}
			if got == Proven && shown[era] < max(inForce, reported) {
				t.Fatalf("proven by version %d, in force %d, reported %d", shown[era], inForce, reported)
			}
		}
	})
}
