package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// TestUnmeasuredServersGetEqualLoad guards against routing most requests to the
// only server with speed samples. The prompts have 8000 tokens, as in normal
// traffic.
func TestUnmeasuredServersGetEqualLoad(t *testing.T) {
	Convey("Once one server has a good speed sample, servers without one get equal load", t, func() {
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

func TestBackupAvoidsFailureDomainOfRequest(t *testing.T) {
	Convey("A backup is placed in another failure domain, on the server with free memory", t, func() {
		r := New(Options{})
		for _, s := range []Server{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}, {ID: "c1", Domain: "c"}} {
			s.Versions = []Deployment{{Model: "m"}}
			r.Upsert(s)
		}
		r.SetMemoryLimit("m", 10000)
		r.Started(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700})
		backup := BackupRequest{Model: "m", Server: "a1", Domain: "a", Tokens: 4000}
		id, ok := r.ChooseBackup(start, backup)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, ID("c1"))
		Convey("and in the same domain only if there is no other", func() {
			r.SetState(start, "b1", StateDead)
			r.SetState(start, "c1", StateDead)
			id, ok := r.ChooseBackup(start, backup)
			So(ok, ShouldBeTrue)
			So(id, ShouldEqual, ID("a2"))
		})
	})
	// Guards against runs that are computed again after the loss of a failure domain: the copy
	// was in the same domain, since the servers of the others had more requests.
	Convey("A backup is placed in another failure domain however many requests run there", t, func() {
		r := New(Options{})
		for _, s := range []Server{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}} {
			s.Versions = []Deployment{{Model: "m"}}
			r.Upsert(s)
		}
		for range 30 {
			r.Started(start, "b1", Work{PromptTokens: 100})
		}
		id, ok := r.ChooseBackup(start, BackupRequest{Model: "m", Server: "a1", Domain: "a", Tokens: 4000})
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, ID("b1"))
	})
	Convey("A server without free memory gets no backup", t, func() {
		r := New(Options{})
		r.Upsert(Server{ID: "a1", Domain: "a", Versions: []Deployment{{Model: "m"}}})
		r.Upsert(Server{ID: "b1", Domain: "b", Versions: []Deployment{{Model: "m"}}})
		r.SetMemoryLimit("m", 10000)
		r.Started(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700})
		_, ok := r.ChooseBackup(start, BackupRequest{Model: "m", Server: "a1", Domain: "a", Tokens: 4000})
		So(ok, ShouldBeFalse)
		Convey("until its running request has ended", func() {
			r.Finished(start, "b1", Work{PromptTokens: 8000, MaxTokens: 700}, Result{})
			_, ok := r.ChooseBackup(start, BackupRequest{Model: "m", Server: "a1", Domain: "a", Tokens: 4000})
			So(ok, ShouldBeTrue)
		})
	})
}

func BenchmarkBackup10000(b *testing.B) {
	r := New(Options{})
	for i := range 10000 {
		r.Upsert(Server{ID: ID(fmt.Sprint("s", i)), Domain: wigeonfork.FailureDomain(fmt.Sprint("d", i%16)), Versions: []Deployment{{Model: "m"}}})
	}
	r.SetMemoryLimit("m", 88000)
	backup := BackupRequest{Model: "m", Server: "s1", Domain: "d1", Tokens: 8700}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := r.ChooseBackup(start, backup)
		r.ReleaseBackup(id, backup.Tokens)
	}
}

// TestResumeAvoidsDomainWithRecentLoss guards against resuming a stream in a
// failure domain that is being lost. The first stream to lose its server is
// resumed before the loss of the other servers of the domain is detected.
func TestResumeAvoidsDomainWithRecentLoss(t *testing.T) {
	Convey("A stream resumes outside the failure domain that just lost a server", t, func() {
		r := newRouter(12, Options{})
		r.SetState(start, "b0", StateDead)
		request := newRequest()
		request.Resume = true
		request.AvoidDomain = "d0"
		for i := range 40 {
			d, err := r.Choose(start.Add(time.Duration(i)*time.Millisecond), request)
			So(err, ShouldBeNil)
			So(d.Domain, ShouldNotEqual, wigeonfork.FailureDomain("d0"))
		}
		Convey("unless all other servers are much slower", func() {
			for i := range 12 {
				if i%3 == 0 {
					continue
				}
				for range 20 {
					r.FirstToken(start, ID(fmt.Sprintf("b%d", i)), FirstToken{Wait: 20 * time.Second, PromptTokens: 1000})
				}
			}
			d, err := r.Choose(start, request)
			So(err, ShouldBeNil)
			So(d.Domain, ShouldEqual, wigeonfork.FailureDomain("d0"))
		})
	})
}
