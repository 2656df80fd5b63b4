package quarantine

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// The parts of the tests: one that all requests share, and one that crashes servers.
const (
	sharedPart PartID = 1
	deadlyPart PartID = 2
)

// partTest drives a PartLimiter in virtual time.
type partTest struct {
	*PartLimiter
	now time.Time
	// requests counts the requests, no two of which are alike.
	requests int
}

func newPartTest() *partTest { return &partTest{PartLimiter: NewPartLimiter(), now: start} }

// crash lets a new request crash a server 100 ms after its run began, a second after the last.
func (p *partTest) crash(n int, domain wigeonfork.FailureDomain, parts ...PartID) {
	p.requests++
	p.crashWith(ContentHash(p.requests), n, domain, parts...)
}

func (p *partTest) crashWith(c ContentHash, n int, domain wigeonfork.FailureDomain, parts ...PartID) {
	p.now = p.now.Add(time.Second)
	run := PartRun{Content: c, Server: server(n), Parts: parts, Began: p.now.Add(-100 * time.Millisecond), At: p.now}
	p.RunLost(run, domain, false)
	p.ServerLost(p.now, server(n), domain)
}

// settle lets the lost runs settle and returns the verdicts.
func (p *partTest) settle() []PartVerdict {
	p.now = p.now.Add(crashSettleTime)
	p.Settle(p.now)
	return p.Verdicts(p.now)
}

func (p *partTest) begin(parts ...PartID) {
	p.now = p.now.Add(10 * time.Millisecond)
	p.Begin(PartBegin{Parts: parts, At: p.now})
}

func (p *partTest) refuses(parts ...PartID) bool {
	q, _ := p.Check(p.now, parts, false)
	return q != nil
}

func TestPartLimiterQuarantinesAtTheLimit(t *testing.T) {
	Convey("A part is refused once three servers were lost to different requests with it", t, func() {
		p := newPartTest()
		for n := range 2 {
			p.crash(n, "a", sharedPart, deadlyPart)
			So(p.settle(), ShouldBeEmpty)
			p.begin(sharedPart)
		}
		p.crash(2, "a", sharedPart, deadlyPart)
		at := p.now
		p.begin(sharedPart)
		verdicts := p.settle()
		So(len(verdicts), ShouldEqual, 1)
		So(verdicts[0], ShouldResemble, PartVerdict{
			PartQuarantine: PartQuarantine{Parts: []PartID{deadlyPart}, Since: at}, Crashes: 3, Servers: 3, Requests: 3,
		})
		So(p.refuses(sharedPart, deadlyPart), ShouldBeTrue)
		So(p.refuses(deadlyPart, 99), ShouldBeTrue)
		So(p.refuses(sharedPart, 99), ShouldBeFalse)
		p.now = p.now.Add(quarantinePeriod + time.Second)
		So(p.refuses(deadlyPart), ShouldBeFalse)
		So(p.Verdicts(p.now), ShouldBeEmpty)
	})
	Convey("One request alone proves nothing against its parts", t, func() {
		p := newPartTest()
		for n := range 9 {
			p.crashWith(7, n, "a", sharedPart, deadlyPart)
			So(p.settle(), ShouldBeEmpty)
		}
	})
	Convey("Losses at one moment prove nothing, however many servers they are", t, func() {
		p := newPartTest()
		for n := range 9 {
			p.crash(n, "a", deadlyPart)
			p.now = p.now.Add(-time.Second)
		}
		So(p.settle(), ShouldBeEmpty)
	})
}

// Guards against a sound part being refused because it was on servers that crashed.
func TestPartLimiterClearsPartsThatBegin(t *testing.T) {
	Convey("A run that begins between the crashes clears its parts", t, func() {
		p := newPartTest()
		for n := range 9 {
			p.crash(n, "a", sharedPart)
			So(p.settle(), ShouldBeEmpty)
			p.begin(sharedPart)
		}
	})
	Convey("A begin that comes before the crash is judged, or is reported late, clears it too", t, func() {
		p := newPartTest()
		for n := range 4 {
			p.crash(n, "a", sharedPart)
			p.begin(sharedPart)
			So(p.settle(), ShouldBeEmpty)
		}
		isNew, sound := p.Merge(p.now, PartCrash{Content: 50, Server: server(50), Parts: []PartID{sharedPart}, At: p.now.Add(-time.Second)})
		So(isNew, ShouldBeFalse)
		So(sound, ShouldResemble, PartBegin{Parts: []PartID{sharedPart}, At: p.now.Add(-crashSettleTime)})
	})
	Convey("A part that is refused is cleared by a run that begins, and told", t, func() {
		p := newPartTest()
		for n := range 3 {
			p.crash(n, "a", sharedPart)
		}
		So(len(p.settle()), ShouldEqual, 1)
		p.now = p.now.Add(time.Millisecond)
		cleared, ended := p.Begin(PartBegin{Parts: []PartID{sharedPart}, At: p.now})
		So(cleared, ShouldResemble, []PartID{sharedPart})
		So(len(ended), ShouldEqual, 1)
		So(p.refuses(sharedPart), ShouldBeFalse)
	})
}

// Guards against a late report of an old crash that clears a part which has become deadly since.
func TestPartLimiterRefutesOnlyCrashesBeforeTheBegin(t *testing.T) {
	Convey("A part that began, and then crashes servers, stays refused when an older crash is reported", t, func() {
		p, peer := newPartTest(), NewPartLimiter()
		old := PartCrash{Content: 50, Server: server(50), Parts: []PartID{deadlyPart}, At: p.now}
		peer.Begin(PartBegin{Parts: []PartID{deadlyPart}, At: p.now.Add(10 * time.Millisecond)})
		for n := range 3 {
			p.crash(n, "a", deadlyPart)
		}
		So(len(p.settle()), ShouldEqual, 1)
		_, sound := peer.Merge(p.now, old)
		So(sound.Parts, ShouldResemble, []PartID{deadlyPart})
		p.Begin(sound)
		So(p.refuses(deadlyPart), ShouldBeTrue)
	})
}

// Guards against thousands of datagrams about one crash: each copy of its report was refuted by each
// entry that knew the part to be sound, also by those that had just been told.
func TestPartLimiterRefutesOnce(t *testing.T) {
	crashAt := func(at time.Time) PartCrash {
		return PartCrash{Content: 50, Server: server(50), Parts: []PartID{sharedPart}, At: at}
	}
	Convey("A crash is refuted once, and again only if it came after what was told", t, func() {
		p := newPartTest()
		for range 3 {
			crash := crashAt(p.now)
			p.begin(sharedPart)
			_, sound := p.Merge(p.now, crash)
			So(sound.Parts, ShouldResemble, []PartID{sharedPart})
			_, sound = p.Merge(p.now, crash)
			So(sound.Parts, ShouldBeEmpty)
			p.now = p.now.Add(time.Second)
		}
	})
	Convey("An entry that was told doesn't tell", t, func() {
		p := newPartTest()
		p.Begin(PartBegin{Parts: []PartID{sharedPart}, At: p.now.Add(time.Millisecond), Told: true})
		isNew, sound := p.Merge(p.now, crashAt(p.now))
		So(isNew, ShouldBeFalse)
		So(sound.Parts, ShouldBeEmpty)
	})
}

// Guards against sound servers that fall silent for a second counting as crashes.
func TestPartLimiterWaitsForSilentServers(t *testing.T) {
	Convey("A run given up on silence counts after 2 s, and not if the server responds again", t, func() {
		for _, returns := range []bool{false, true} {
			p := newPartTest()
			for n := range 3 {
				p.now = p.now.Add(time.Second)
				p.requests++
				run := PartRun{Content: ContentHash(p.requests), Server: server(n), Parts: []PartID{deadlyPart}, Began: p.now, At: p.now}
				p.RunLost(run, "a", true)
				p.ServerLost(p.now, server(n), "a")
				p.now = p.now.Add(crashSettleTime)
				So(p.Settle(p.now), ShouldBeEmpty)
				if returns {
					p.ServerReturned(p.now, server(n))
				}
				p.now = p.now.Add(silentSettleTime)
				p.Settle(p.now)
			}
			So(len(p.Verdicts(p.now)) == 1, ShouldEqual, !returns)
		}
	})
}

// Guards against blaming a part that was always beside the one that crashes.
func TestPartLimiterSeparatesTiedParts(t *testing.T) {
	Convey("Of parts in just the same runs, only prompts with all of them are refused", t, func() {
		p := newPartTest()
		for n := range 3 {
			p.crash(n, "a", sharedPart, deadlyPart)
		}
		So(p.settle()[0].Parts, ShouldResemble, []PartID{sharedPart, deadlyPart})
		So(p.refuses(sharedPart, deadlyPart, 9), ShouldBeTrue)
		So(p.refuses(sharedPart, 9), ShouldBeFalse)
		So(p.refuses(deadlyPart, 9), ShouldBeFalse)
		Convey("A begin clears the sound one", func() {
			p.begin(sharedPart, 9)
			So(p.refuses(deadlyPart, 9), ShouldBeTrue)
			So(p.refuses(sharedPart, 9), ShouldBeFalse)
		})
		Convey("A crash without the sound one leaves the other", func() {
			p.crash(4, "a", deadlyPart, 9)
			So(p.settle()[0].Parts, ShouldResemble, []PartID{deadlyPart})
			So(p.refuses(deadlyPart), ShouldBeTrue)
			So(p.refuses(sharedPart), ShouldBeFalse)
			So(len(p.Quarantines(p.now)), ShouldEqual, 1)
		})
	})
	Convey("A part beside the deadly one at some of its servers is explained by it", t, func() {
		p := newPartTest()
		const beside PartID = 5
		for n := range 4 {
			p.crash(n, "a", deadlyPart)
			if n > 0 {
				p.now = p.now.Add(-time.Second)
				p.crash(n, "a", beside)
			}
		}
		So(len(p.settle()), ShouldEqual, 1)
		So(p.refuses(deadlyPart), ShouldBeTrue)
		So(p.refuses(beside), ShouldBeFalse)
	})
}

// Guards against a verdict that stays although it is wrong, and against trials that break the limit.
func TestPartLimiterTrials(t *testing.T) {
	Convey("At most three requests are let through in the time of a quarantine, at one entry", t, func() {
		p := newPartTest()
		for n := range 3 {
			p.crash(n, "a", deadlyPart)
		}
		p.settle()
		trials := 0
		for range int(quarantinePeriod/time.Second) - 2 {
			p.now = p.now.Add(time.Second)
			q, _ := p.Check(p.now, []PartID{deadlyPart}, false)
			So(q, ShouldNotBeNil)
			if _, trial := p.Check(p.now, []PartID{deadlyPart}, true); trial {
				trials++
			}
		}
		So(trials, ShouldEqual, 3)
	})
	Convey("A trial that a peer reports is not repeated", t, func() {
		p := newPartTest()
		q := PartQuarantine{Parts: []PartID{deadlyPart}, Since: p.now}
		So(p.MergeQuarantine(p.now, q), ShouldBeTrue)
		p.now = p.now.Add(trialTimes[0])
		q.Trials = 1
		So(p.MergeQuarantine(p.now, q), ShouldBeFalse)
		_, trial := p.Check(p.now, q.Parts, true)
		So(trial, ShouldBeFalse)
	})
}

// Guards against one more trial at each restart of an entry: what it reads back doesn't say which trials
// were made.
func TestPartLimiterTrialsSurviveRestarts(t *testing.T) {
	Convey("An entry that restarts every minute lets three requests through at most", t, func() {
		since, trials := start, 0
		for minute := range int(quarantinePeriod / time.Minute) {
			p := newPartTest()
			p.now = since.Add(time.Duration(minute) * time.Minute)
			So(p.MergeQuarantine(p.now, PartQuarantine{Parts: []PartID{deadlyPart}, Since: since}), ShouldBeTrue)
			for range int(time.Minute / time.Second) {
				if _, trial := p.Check(p.now, []PartID{deadlyPart}, true); trial {
					trials++
				}
				p.now = p.now.Add(time.Second)
			}
		}
		So(trials, ShouldEqual, 3)
	})
}

func TestPartLimiterMerges(t *testing.T) {
	Convey("Entries that exchange crashes reach the same verdict, whatever the order and repetition", t, func() {
		var crashes []PartCrash
		for n := range 3 {
			at := start.Add(time.Duration(n) * time.Second)
			crashes = append(crashes, PartCrash{Content: ContentHash(n), Server: server(n), Parts: []PartID{deadlyPart}, At: at})
		}
		now := start.Add(4 * time.Second)
		for _, order := range [][]int{{0, 1, 2}, {2, 1, 0, 0}, {1, 1, 2, 0}} {
			l := NewPartLimiter()
			for _, i := range order {
				l.Merge(now, crashes[i])
			}
			So(l.Verdicts(now)[0].Since, ShouldEqual, crashes[2].At)
			So(len(l.Crashes(now)), ShouldEqual, 3)
		}
	})
}

// Guards against unlimited parts and requests using up the memory, or pushing out a quarantine.
func TestPartLimiterIsBounded(t *testing.T) {
	Convey("Fresh parts push out neither a quarantine nor the part with most crashes", t, func() {
		p := newPartTest()
		for n := range 3 {
			p.crash(n, "a", deadlyPart)
		}
		p.settle()
		p.crash(3, "a", sharedPart)
		p.crash(4, "a", sharedPart)
		p.settle()
		many := make([]PartID, 2*MaxParts)
		next := PartID(1000)
		for n := range 3 * maxPartHistories / MaxParts {
			for i := range many {
				many[i] = next
				next++
			}
			p.crash(100+n, "b", slices.Clone(many)...)
			p.settle()
			p.begin(many...)
			p.now = p.now.Add(-1500 * time.Millisecond)
		}
		So(len(p.histories), ShouldBeLessThanOrEqualTo, maxPartHistories)
		So(len(p.begins.recent)+len(p.begins.older), ShouldBeLessThanOrEqualTo, maxBegins)
		So(p.refuses(deadlyPart), ShouldBeTrue)
		So(len(p.histories[sharedPart].crashes), ShouldEqual, 2)
	})
	Convey("Runs without an outcome and quarantines are bounded", t, func() {
		p := newPartTest()
		for n := range 2 * maxUnsettledParts {
			p.RunLost(PartRun{Content: ContentHash(n), Server: server(n), Parts: []PartID{PartID(n)}, At: p.now}, "a", false)
			p.MergeQuarantine(p.now, PartQuarantine{Parts: []PartID{PartID(n)}, Since: p.now})
		}
		So(len(p.unsettled), ShouldEqual, maxUnsettledParts)
		So(len(p.Quarantines(p.now)), ShouldEqual, maxPartQuarantines)
	})
}

func BenchmarkPartLimiterCheck(b *testing.B) {
	l := NewPartLimiter()
	for n := range PartID(maxPartQuarantines) {
		l.MergeQuarantine(start, PartQuarantine{Parts: []PartID{n}, Since: start})
	}
	parts := []PartID{1 << 40, 1 << 41, 1 << 42}
	b.ReportAllocs()
	for range b.N {
		l.Check(start, parts, false)
	}
}

// BenchmarkPartLimiterBegin records begins of runs beside full evidence.
func BenchmarkPartLimiterBegin(b *testing.B) {
	l := NewPartLimiter()
	for n := range maxPartHistories {
		l.Merge(start, PartCrash{Content: ContentHash(n), Server: server(n % 100), Parts: []PartID{PartID(n)}, At: start})
	}
	b.ReportAllocs()
	for n := range b.N {
		l.Begin(PartBegin{Parts: []PartID{1 << 40, 1<<41 + PartID(n)}, At: start})
	}
}

// BenchmarkPartLimiterMassLoss settles the lost runs of an entry whose failure domain of 625 servers is
// lost.
func BenchmarkPartLimiterMassLoss(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		l := NewPartLimiter()
		for n := range 625 {
			l.ServerLost(start, server(n), "a")
			l.RunLost(PartRun{Content: ContentHash(n), Server: server(n), Parts: []PartID{1, PartID(n)}, Began: start, At: start}, "a", false)
		}
		l.Settle(start.Add(crashSettleTime))
		l.Verdicts(start.Add(crashSettleTime))
	}
}
