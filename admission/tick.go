package admission

import (
	"time"
)

// Tick returns the decisions on queued requests that are due: those that start
// now and those that can no longer start in time. It is called after Release and
// SetCapacity and at least every few tens of milliseconds. The slice is valid
// until the next call.
func (c *Controller) Tick(now time.Time) []Decision {
	c.decisions = c.decisions[:0]
	c.expire(now)
	c.admit(now)
	c.shed(now)
	return c.decisions
}

// expire refuses the queued requests whose start deadline has passed.
func (c *Controller) expire(now time.Time) {
	for len(c.startDeadlines) > 0 && !now.Before(c.startDeadlines[0].startDeadline) {
		c.refuseQueued(c.startDeadlines[0])
	}
}

func (c *Controller) refuseQueued(e *queuedRequest) {
	reason := ReasonWaitTooLong
	if !e.request.Deadline.IsZero() && e.startDeadline.Add(c.serviceOf(e.request)).Equal(e.request.Deadline) {
		reason = ReasonTooLate
	}
	q := e.queue
	wait := c.queueWait(q)
	q.remove(e)
	c.decisions = append(c.decisions, c.refuse(&e.request, reason, wait))
	c.discard(e)
}

// admit starts queued requests while there is capacity: resumes first, then the
// class with the earliest virtual time.
func (c *Controller) admit(now time.Time) {
	for {
		q := c.nextQueue()
		if q == nil {
			return
		}
		e := q.pop()
		c.start(now, q, e.request)
		c.decisions = append(c.decisions, Decision{ID: e.request.ID, Action: Admit})
		c.discard(e)
	}
}

func (c *Controller) nextQueue() *classQueue {
	if q := c.highestResumeQueue(); q != nil {
		if c.canStart(q, q.peek().request.Cost) {
			return q
		}
		return nil
	}
	var best *classQueue
	for _, q := range c.newRequests {
		if q.count == 0 || !c.canStart(q, q.peek().request.Cost) {
			continue
		}
		if best == nil || c.before(q, best) {
			best = q
		}
	}
	return best
}

// before reports whether a starts before b: the earlier virtual time first, then
// the higher weight.
func (c *Controller) before(a, b *classQueue) bool {
	tagA, tagB := max(a.virtualTime, c.virtualTime), max(b.virtualTime, c.virtualTime)
	if tagA != tagB {
		return tagA < tagB
	}
	return c.weight(a) > c.weight(b)
}

// highestResumeQueue returns the non-empty resume queue of the class with the
// highest weight.
func (c *Controller) highestResumeQueue() *classQueue {
	var best *classQueue
	for _, q := range c.resumes {
		if q.count == 0 {
			continue
		}
		if best == nil || c.weight(q) > c.weight(best) {
			best = q
		}
	}
	return best
}

func (c *Controller) weight(q *classQueue) float64 {
	return c.options.Policy[q.class].Weight
}

// expectedWait predicts the time that a request of q spends in the queue.
func (c *Controller) expectedWait(q *classQueue, req Request) time.Duration {
	ahead := q.work
	if w := q.workspaces[req.Workspace]; w != nil && len(q.active) > 0 {
		ahead = min(ahead, w.work*float64(len(q.active)))
	}
	return c.waitForWork(q, ahead+c.workOf(req))
}

func (c *Controller) queueWait(q *classQueue) time.Duration {
	return c.waitForWork(q, q.work)
}

// waitForWork returns the time until work has been admitted from q, after the
// queued resumes and in parallel with the other classes that have queued
// requests.
func (c *Controller) waitForWork(q *classQueue, work float64) time.Duration {
	rate := c.capacity // work per second
	if rate <= 0 {
		return maxRetryAfter
	}
	if q.resume {
		return time.Duration((c.resumeWorkBefore(q) + work) / rate * float64(time.Second))
	}
	own := c.weight(q)
	all := own
	for _, other := range c.newRequests {
		if other != q && other.count > 0 {
			all += c.weight(other)
		}
	}
	wait := (c.resumeWorkBefore(nil) + work*all/own) / rate
	return min(maxRetryAfter, time.Duration(wait*float64(time.Second)))
}

// resumeWorkBefore returns the work of the queued resumes that start before the
// resume queue q, or of all queued resumes if q is nil.
func (c *Controller) resumeWorkBefore(q *classQueue) float64 {
	var work float64
	for _, other := range c.resumes {
		if q == nil || (other != q && c.weight(other) >= c.weight(q)) {
			work += other.work
		}
	}
	return work
}

// shedInterval is the minimum time between two runs of shed, unless the capacity
// has decreased.
const shedInterval = 250 * time.Millisecond

// shed refuses, from the tail of each workspace queue, the new requests whose
// predicted start exceeds their start deadline by more than shedTolerance, as
// after a loss of capacity. It also drops idle workspace queues.
func (c *Controller) shed(now time.Time) {
	if !c.shedPending && now.Sub(c.lastShedAt) < shedInterval {
		return
	}
	c.shedPending, c.lastShedAt = false, now
	for _, q := range c.newRequests {
		if q.count > 0 {
			c.shedQueue(now, q)
		}
		q.dropIdle()
	}
	for _, q := range c.resumes {
		q.dropIdle()
	}
}

func (c *Controller) shedQueue(now time.Time, q *classQueue) {
	for i := len(q.active) - 1; i >= 0; i-- {
		if i < len(q.active) {
			c.shedWorkspace(now, q, q.active[i])
		}
	}
}

func (c *Controller) shedWorkspace(now time.Time, q *classQueue, w *workspaceQueue) {
	for w.tail != nil {
		ahead := min(q.work, w.work*float64(len(q.active)))
		if !now.Add(c.waitForWork(q, ahead)).After(w.tail.startDeadline.Add(shedTolerance)) {
			return
		}
		c.refuseQueued(w.tail)
	}
}

const shedTolerance = 500 * time.Millisecond

// refuse returns a refusal. Its retry-after grows with the expected wait and is
// spread at random, so that the retries do not arrive together.
func (c *Controller) refuse(req *Request, reason Reason, wait time.Duration) Decision {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	spread := c.options.RetrySpread
	factor := 1 - spread/2 + spread*c.random.Float64()
	return Decision{
		ID: req.ID, Action: Refuse, Reason: reason, Resume: req.Resume, ExpectedWait: wait,
		RetryAfter: time.Duration(factor * float64(base)),
	}
}

// Stats holds the number of running and queued requests, and the used and the
// total capacity in units of cost.
type Stats struct {
	Running  int
	Queued   int
	Used     float64
	Capacity float64
}

// Stats returns the current values.
func (c *Controller) Stats() Stats {
	return Stats{Running: len(c.running), Queued: len(c.queued), Used: c.used, Capacity: c.capacity}
}
