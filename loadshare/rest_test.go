package loadshare

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/serverlimit"
)

const (
	restSchedules = 300
	restEntries   = 4
	restEvents    = 60
	// restLimit bounds the reports that are read in one schedule: all peers read a report on an event, and those that
	// each of them passes on maxReportPasses times.
	restLimit = restEvents * (3 + 9 + 27 + 81 + 243)
	// mergedLimit is that for reports of which each changes an entry twice at most: when it is new, and when it is undone.
	mergedLimit = restEvents * restEntries * restEntries * 2
)

var restStart = time.Unix(1_800_000_000, 0)

// passOn returns what an entry sends on of a report.
func passOn[R interface{ PassedOn() (R, bool) }](isNew bool, r R) []R {
	next, ok := r.PassedOn()
	if !isNew || !ok {
		return nil
	}
	return []R{next}
}

// newEach returns a value for each entry.
func newEach[T any](create func() T) []T {
	list := make([]T, restEntries)
	for i := range list {
		list[i] = create()
	}
	return list
}

// startOf returns one of a few starts of servers.
func startOf(n int) quarantine.ServerStart {
	return quarantine.ServerStart{ID: wigeonfork.BackendServerID(rune('a' + n)), Born: 1}
}

// Guards against reports on crashes that entries pass on to each other without end, since what one of them has forgotten
// is new to it again: a crash and the begin that clears it chase each other, after an entry was suspended and without.
func TestCrashReportsComeToRest(t *testing.T) {
	Convey("The reports on each event end after each entry has passed them on a few times", t, func() {
		for seed := range uint64(restSchedules) {
			limiters := newEach(quarantine.NewLimiter)
			c := newTelling(seed, restEntries, mergedLimit, restStart, func(now time.Time, at int, r CrashReport) []CrashReport {
				return passOn(r.Apply(now, limiters[at]), r)
			})
			ended := c.play(restStart, restEvents, func(now time.Time) CrashReport {
				content := quarantine.ContentHash(1 + c.random.IntN(3))
				began := quarantine.Completion{Content: content, At: now}
				return []CrashReport{
					CrashOf(now, quarantine.Crash{Content: content, Began: now.Add(-50 * time.Millisecond), At: now, Server: startOf(c.random.IntN(20))}),
					BeginOf(now, began),
					CompletionOf(now, began),
					QuarantineOf(now, quarantine.Quarantine{Content: content, Since: now}),
				}[c.random.IntN(4)]
			})
			if !ended {
				t.Errorf("seed %d: %d reports were read, %d are under way", seed, c.reads, c.queue.Len())
			}
		}
	})
}

// applyPart applies a report as gateways do.
func applyPart(now time.Time, l *quarantine.PartLimiter, r PartReport) []PartReport {
	switch r.Kind {
	case ReportPartCrash:
		isNew, sound := l.Merge(now, r.Crash(now))
		reports := PartBeginOf(now, sound)
		return append(reports, passOn(isNew, r)...)
	case ReportPartBegin:
		cleared, _ := l.Begin(r.Begin(now))
		return passOn(len(cleared) > 0, r)
	case ReportPartQuarantine:
		return passOn(l.MergeQuarantine(now, r.Quarantine(now)), r)
	}
	return nil
}

// Guards against the same for reports on parts of prompts.
func TestPartReportsComeToRest(t *testing.T) {
	Convey("The reports on each event end after each entry has passed them on a few times", t, func() {
		for seed := range uint64(restSchedules) {
			limiters := newEach(quarantine.NewPartLimiter)
			c := newTelling(seed, restEntries, restLimit, restStart, func(now time.Time, at int, r PartReport) []PartReport {
				return applyPart(now, limiters[at], r)
			})
			ended := c.play(restStart, restEvents, func(now time.Time) PartReport {
				parts := []quarantine.PartID{quarantine.PartID(1 + c.random.IntN(3))}
				switch c.random.IntN(3) {
				case 0:
					content := quarantine.ContentHash(c.random.IntN(5))
					return PartCrashOf(now, &quarantine.PartCrash{Content: content, Server: startOf(c.random.IntN(20)), At: now, Parts: parts})[0]
				case 1:
					return PartBeginOf(now, quarantine.PartBegin{Parts: parts, At: now})[0]
				}
				return PartQuarantineOf(now, &quarantine.PartQuarantine{Parts: parts, Since: now})
			})
			if !ended {
				t.Errorf("seed %d: %d reports were read, %d are under way", seed, c.reads, c.queue.Len())
			}
		}
	})
}

// Guards against the same for reports on the limits that servers name: an older limit and a newer one.
func TestLimitReportsComeToRest(t *testing.T) {
	Convey("The reports on each event end after each entry has passed them on a few times", t, func() {
		for seed := range uint64(restSchedules) {
			tables := newEach(serverlimit.NewTable)
			c := newTelling(seed, restEntries, restLimit, restStart, func(now time.Time, at int, r LimitReport) []LimitReport {
				change := tables[at].Observe(now.Add(-max(r.Age, 0)), r.Server, r.Statement())
				return passOn(change != serverlimit.Unchanged, r)
			})
			ended := c.play(restStart, restEvents, func(now time.Time) LimitReport {
				return LimitReport{Server: startOf(c.random.IntN(2)).ID, Limited: c.random.IntN(4) > 0, Rate: float64(c.random.IntN(4))}
			})
			if !ended {
				t.Errorf("seed %d: %d reports were read, %d are under way", seed, c.reads, c.queue.Len())
			}
		}
	})
}
