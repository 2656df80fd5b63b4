package policy

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events at the same time are called
// in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// epoch is the wall-clock time of the virtual time 0.
var epoch = time.Unix(1_800_000_000, 0)

// clock runs events in order of virtual time.
type clock struct {
	now     time.Duration
	seq     uint64
	pending events
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) at(when time.Duration, do func()) {
	c.seq++
	heap.Push(&c.pending, event{at: max(when, c.now), seq: c.seq, do: do})
}

func (c *clock) after(wait time.Duration, do func()) { c.at(c.now+wait, do) }

// every calls do repeatedly, for the first time after one interval.
func (c *clock) every(interval time.Duration, do func()) {
	c.after(interval, func() {
		do()
		c.every(interval, do)
	})
}

func (c *clock) run(until time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= until {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
