package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/storepos"
)

func sinceOrder(revision uint64) storepos.Position { return storepos.Position{Revision: revision} }

// Guards against entries that hear which version is in service in different orders, or repeatedly, and end with
// different ones.
func TestInServiceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fact := rapid.Custom(func(t *rapid.T) InService {
			version := rapid.SampledFrom([]wigeonfork.Version{"", "v1", "v2", "v3"}).Draw(t, "version")
			return InService{Version: version, Since: sinceOrder(rapid.Uint64Range(0, 4).Draw(t, "since"))}
		})
		facts := rapid.SliceOfN(fact, 1, 12).Draw(t, "facts")
		learn := func(list []InService) InService {
			var versions ServiceVersions
			for _, f := range list {
				versions.Learn(f)
			}
			return versions.InService()
		}
		want := learn(facts)
		if got := learn(append(rapid.Permutation(facts).Draw(t, "order"), facts...)); got != want {
			t.Fatalf("learned %v, then %v", want, got)
		}
	})
}

// Guards against requests that go to a version that has ended, is under trial or was stopped while another one has
// servers, and against a service without a version though it has servers.
func TestTrustedVersion(t *testing.T) {
	const none = 0
	servers := func(v1, v2, v3 int) []VersionServers {
		return []VersionServers{{"v1", 3, v1}, {"v2", 3, v2}, {"v3", 3, v3}}
	}
	completed := InService{Version: "v2", Since: sinceOrder(5)}
	cases := []struct {
		name    string
		fact    InService
		stopped wigeonfork.Version
		known   []VersionServers
		want    wigeonfork.Version
	}{
		{"nothing is known but the servers", InService{}, "", servers(3, 3, 3), "v1"},
		{"a completed move is known", completed, "", servers(3, 3, 3), "v2"},
		{"the version in service is not registered yet", completed, "", servers(3, 3, 3)[:1], "v1"},
		{"the version in service has no usable servers", completed, "", servers(3, none, 3), "v1"},
		{"no version has usable servers", completed, "", servers(none, none, none), "v2"},
		{"the only other version was stopped", InService{Version: "v2"}, "v1", servers(3, none, 3), "v2"},
		{"the first version was stopped, and no completed move is known", InService{}, "v1", servers(3, 3, 3), "v2"},
		{"only the version under trial has servers", InService{}, "", servers(3, 3, 3)[2:], ""},
	}
	for _, c := range cases {
		Convey("When "+c.name+", the version for requests outside the trial is '"+string(c.want)+"'", t, func() {
			var versions ServiceVersions
			versions.Learn(c.fact)
			if c.stopped != "" {
				versions.Stop(c.stopped, sinceOrder(1))
			}
			So(versions.Trusted(c.known, "v3"), ShouldEqual, c.want)
		})
	}
}

// Guards against a version that stays out of use after it was stopped once and completed by a later order, and against
// the late news of that stop.
func TestStoppedVersionIsCompletedLater(t *testing.T) {
	Convey("A version that a later order put in service is trusted, also if the stop is heard again", t, func() {
		var versions ServiceVersions
		versions.Stop("v2", sinceOrder(3))
		versions.Learn(InService{Version: "v2", Since: sinceOrder(9)})
		versions.Stop("v2", sinceOrder(3))
		versions.Learn(InService{Version: "v3", Since: sinceOrder(12)})
		So(versions.Trusted([]VersionServers{{"v2", 3, 3}}, ""), ShouldEqual, wigeonfork.Version("v2"))
	})
	Convey("Only the last stopped versions are remembered", t, func() {
		var versions ServiceVersions
		for i := range uint64(2 * maxStoppedVersions) {
			versions.Stop(wigeonfork.Version(rune('a'+i)), sinceOrder(i+1))
		}
		So(len(versions.stopped), ShouldEqual, maxStoppedVersions)
		So(versions.stopped, ShouldNotContainKey, wigeonfork.Version("a"))
	})
}
