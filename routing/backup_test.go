package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// The load of a calm day: eight-thousand-token prompts, one engine known so far.
func TestUnknownServersTakeTheirShare(t *testing.T) {
	Convey("Once one server has shown a good pace, those that have shown nothing get as much", t, func() {
		r := newRouter(12, Options{})
		for i := range 40 {
			now := start.Add(-time.Second + time.Duration(i)*20*time.Millisecond)
			r.FirstToken(now, "b0", FirstToken{Wait: 400 * time.Millisecond, PromptTokens: 8000})
			r.Progress(now, "b0", 64, 6*time.Millisecond)
		}
		work := Work{PromptTokens: 8000, MaxTokens: 700}
		counts := map[ID]int{}
		for i := range 36 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			d, err := r.Choose(now, Request{Model: current.Model, Version: current.Version, PromptTokens: work.PromptTokens, MaxTokens: work.MaxTokens})
			So(err, ShouldBeNil)
			r.Started(now, d.ID, work)
			counts[d.ID]++
		}
		for _, n := range counts {
			So(n, ShouldBeLessThanOrEqualTo, 5)
		}
	})
}

func TestBackupGoesElsewhere(t *testing.T) {
	Convey("A copy goes to another failure domain, where memory is free", t, func() {
		r := New(Options{})
		for _, s := range []Server{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}, {ID: "c1", Domain: "c"}} {
			s.Versions = []Deployment{{Model: "m"}}
			r.Upsert(s)
		}
		r.SetMemory("m", 10000)
		r.Started(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700})
		backup := Backup{Model: "m", Server: "a1", Domain: "a", Tokens: 4000}
		id, ok := r.ChooseBackup(start, backup)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, ID("c1"))
		Convey("and to the same one only if there is no other", func() {
			r.SetState(start, "b1", StateDead)
			r.SetState(start, "c1", StateDead)
			id, ok := r.ChooseBackup(start, backup)
			So(ok, ShouldBeTrue)
			So(id, ShouldEqual, ID("a2"))
		})
	})
	Convey("A server without room for it gets none", t, func() {
		r := New(Options{})
		r.Upsert(Server{ID: "a1", Domain: "a", Versions: []Deployment{{Model: "m"}}})
		r.Upsert(Server{ID: "b1", Domain: "b", Versions: []Deployment{{Model: "m"}}})
		r.SetMemory("m", 10000)
		r.Started(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700})
		_, ok := r.ChooseBackup(start, Backup{Model: "m", Server: "a1", Domain: "a", Tokens: 4000})
		So(ok, ShouldBeFalse)
		Convey("until what it runs has ended", func() {
			r.Finished(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700}, Result{})
			_, ok := r.ChooseBackup(start, Backup{Model: "m", Server: "a1", Domain: "a", Tokens: 4000})
			So(ok, ShouldBeTrue)
		})
	})
}

func BenchmarkBackup10000(b *testing.B) {
	r := New(Options{})
	for i := range 10000 {
		r.Upsert(Server{ID: ID(fmt.Sprint("s", i)), Domain: wigeonfork.FailureDomain(fmt.Sprint("d", i%16)), Versions: []Deployment{{Model: "m"}}})
	}
	r.SetMemory("m", 88000)
	backup := Backup{Model: "m", Server: "s1", Domain: "d1", Tokens: 8700}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := r.ChooseBackup(start, backup)
		r.ReleaseBackup(id, backup.Tokens)
	}
}
