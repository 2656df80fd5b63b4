package loadshare

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// delivery is a report that arrives at an entry.
type delivery struct {
	at     time.Time
	to     int
	report CrashReport
}

// deliveryQueue is a heap of deliveries by time.
type deliveryQueue []delivery

func (q deliveryQueue) Len() int           { return len(q) }
func (q deliveryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q deliveryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// crashReporting is a few entries that tell each other of crashes as gateways do. One of them is suspended for a while
// and then reads what has come meanwhile.
type crashReporting struct {
	random        *rand.Rand
	limiters      []*quarantine.Limiter
	queue         deliveryQueue
	suspended     int
	from, until   time.Time
	events, reads int
}

// send sends a report from one entry to all others. Some copies are late, doubled or lost.
func (c *crashReporting) send(now time.Time, from int, report CrashReport) {
	for to := range c.limiters {
		if to == from || c.random.IntN(50) == 0 {
			continue
		}
		for range 1 + c.random.IntN(50)/49 {
			at := now.Add(time.Duration(500+c.random.IntN(3000)) * time.Microsecond)
			if to == c.suspended && at.After(c.from) && at.Before(c.until) {
				at = c.until
			}
			heap.Push(&c.queue, delivery{at: at, to: to, report: report})
		}
	}
}

// happen lets something happen at an entry, which reports it if that changes anything there.
func (c *crashReporting) happen(now time.Time, at int, report CrashReport) {
	c.events++
	if report.Apply(now, c.limiters[at]) {
		c.send(now, at, report)
	}
}

// run delivers all reports, at most limit, and lets entries pass on what is new to them.
func (c *crashReporting) run(until time.Time, limit int) {
	for c.queue.Len() > 0 && c.queue[0].at.Before(until) && c.reads < limit {
		d := heap.Pop(&c.queue).(delivery)
		c.reads++
		if d.report.Apply(d.at, c.limiters[d.to]) {
			c.send(d.at, d.to, d.report)
		}
	}
}

// play lets crashes, begins, completions and quarantines of a few requests happen within some seconds.
func (c *crashReporting) play(start time.Time, limit int) {
	now := start
	for range 60 {
		now = now.Add(time.Duration(c.random.IntN(100)) * time.Millisecond)
		c.run(now, limit)
		at := c.random.IntN(len(c.limiters))
		if at == c.suspended && now.After(c.from) && now.Before(c.until) {
			continue
		}
		content := quarantine.ContentHash(1 + c.random.IntN(3))
		crash := quarantine.Crash{
			Content: content, Began: now.Add(-50 * time.Millisecond), At: now,
			Server: quarantine.ServerStart{ID: wigeonfork.BackendServerID(string(rune('a' + c.random.IntN(20)))), Born: 1},
		}
		c.happen(now, at, []CrashReport{
			CrashOf(now, crash),
			BeginOf(now, quarantine.Completion{Content: content, At: now}),
			CompletionOf(now, quarantine.Completion{Content: content, At: now}),
			QuarantineOf(now, quarantine.Quarantine{Content: content, Since: now}),
		}[c.random.IntN(4)])
	}
	c.run(now.Add(time.Minute), limit)
}

// Guards against reports on crashes that entries pass on to each other without end, since what one of them has forgotten
// is new to it again: a crash and the begin that clears it chase each other after an entry was suspended.
func TestCrashReportsComeToRest(t *testing.T) {
	const schedules, entries = 300, 4
	Convey("The reports on each event end after each entry has passed them on a few times", t, func() {
		for seed := range uint64(schedules) {
			start := time.Unix(1_800_000_000, 0)
			c := &crashReporting{random: rand.New(rand.NewPCG(seed, 1)), suspended: int(seed % entries)}
			c.from, c.until = start.Add(500*time.Millisecond), start.Add(4500*time.Millisecond)
			for range entries {
				c.limiters = append(c.limiters, quarantine.NewLimiter())
			}
			// Each entry passes the report on an event on to all others, at most once when it is new and once more for
			// each crash that it clears.
			limit := 60 * entries * entries * 2
			c.play(start, limit)
			if c.reads >= limit || c.queue.Len() > 0 {
				t.Errorf("seed %d: %d reports of %d events were read, %d are under way", seed, c.reads, c.events, c.queue.Len())
			}
		}
	})
}
