package loadshare

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// delivery is a report that arrives at an entry.
type delivery[R any] struct {
	at     time.Time
	to     int
	report R
}

// deliveryQueue is a heap of deliveries by time.
type deliveryQueue[R any] []delivery[R]

func (q deliveryQueue[R]) Len() int           { return len(q) }
func (q deliveryQueue[R]) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q deliveryQueue[R]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue[R]) Push(x any)        { *q = append(*q, x.(delivery[R])) }
func (q *deliveryQueue[R]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// telling is a few entries that tell each other of events as gateways do, without network and clock. One of them is
// suspended for a while and then reads what has come meanwhile.
type telling[R any] struct {
	random  *rand.Rand
	entries int
	// apply applies a report at an entry and returns those that the entry sends on.
	apply func(now time.Time, at int, report R) []R

	queue       deliveryQueue[R]
	suspended   int
	from, until time.Time
	// reads is the number of reports that were read, at most limit.
	reads, limit int
}

// newTelling returns entries of which one is suspended for 4 s.
func newTelling[R any](seed uint64, entries, limit int, start time.Time, apply func(time.Time, int, R) []R) *telling[R] {
	return &telling[R]{
		random: rand.New(rand.NewPCG(seed, 1)), entries: entries, limit: limit, apply: apply,
		suspended: int(seed % uint64(entries)), from: start.Add(500 * time.Millisecond), until: start.Add(4500 * time.Millisecond),
	}
}

func (c *telling[R]) isSuspended(at int, now time.Time) bool {
	return at == c.suspended && now.After(c.from) && now.Before(c.until)
}

// send sends reports from one entry to all others. Some copies are late, doubled or lost.
func (c *telling[R]) send(now time.Time, from int, reports []R) {
	for _, report := range reports {
		for to := range c.entries {
			if to == from || c.random.IntN(50) == 0 {
				continue
			}
			for range 1 + c.random.IntN(50)/49 {
				at := now.Add(time.Duration(500+c.random.IntN(3000)) * time.Microsecond)
				if c.isSuspended(to, at) {
					at = c.until
				}
				heap.Push(&c.queue, delivery[R]{at: at, to: to, report: report})
			}
		}
	}
}

// run delivers the reports that arrive before a time.
func (c *telling[R]) run(until time.Time) {
	for c.queue.Len() > 0 && c.queue[0].at.Before(until) && c.reads < c.limit {
		d := heap.Pop(&c.queue).(delivery[R])
		c.reads++
		c.send(d.at, d.to, c.apply(d.at, d.to, d.report))
	}
}

// play lets events happen at random entries within some seconds, and then delivers what is under way. It returns whether
// the reports have ended.
func (c *telling[R]) play(start time.Time, events int, event func(now time.Time) R) (ended bool) {
	now := start
	for range events {
		now = now.Add(time.Duration(c.random.IntN(100)) * time.Millisecond)
		c.run(now)
		report := event(now)
		if at := c.random.IntN(c.entries); !c.isSuspended(at, now) && len(c.apply(now, at, report)) > 0 {
			c.send(now, at, []R{report})
		}
	}
	c.run(now.Add(time.Minute))
	return c.queue.Len() == 0
}
