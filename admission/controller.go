package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// running is a request that holds a part of the capacity.
type running struct {
	class   wigeonfork.Class
	resume  bool
	cost    float64
	started time.Time
}

// Controller shares a capacity between requests.
type Controller struct {
	options  Options
	random   *rand.Rand
	capacity float64
	fresh    [wigeonfork.NumClasses]*classQueue
	resumes  [wigeonfork.NumClasses]*classQueue
	running  map[wigeonfork.RequestID]running
	queued   map[wigeonfork.RequestID]*entry
	latest   deadlineHeap
	used     float64
	virtual  float64
	service  [wigeonfork.NumClasses]time.Duration
	mean     time.Duration // running time over all classes, weighted by cost
	shedNow  bool
	shedAt   time.Time
	spare    []*entry
	out      []Decision
}

// New returns a Controller without requests.
func New(options Options) *Controller {
	options = options.withDefaults()
	c := &Controller{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0xd1b54a32d192ed03)),
		capacity: options.Capacity,
		running:  make(map[wigeonfork.RequestID]running),
		queued:   make(map[wigeonfork.RequestID]*entry),
		mean:     defaultService,
	}
	for class := range c.fresh {
		c.fresh[class] = newClassQueue(wigeonfork.Class(class), false)
		c.resumes[class] = newClassQueue(wigeonfork.Class(class), true)
	}
	return c
}

// Offer decides on a new request: admitted at once, queued or refused.
func (c *Controller) Offer(now time.Time, req Request) Decision {
	req = c.normalise(req)
	if c.holds(req.ID) {
		return Decision{ID: req.ID, Action: Refuse, Reason: ReasonDuplicate, Resume: req.Resume}
	}
	q := c.queueOf(req.Class, req.Resume)
	if c.canStart(q, req.Cost) && !c.mustWait(q) {
		q.charge(req.Workspace, c.workspaceWeight(req.Workspace), c.workOf(req))
		c.start(now, q, req)
		return Decision{ID: req.ID, Action: Admit}
	}
	return c.enqueue(now, q, req)
}

func (c *Controller) normalise(req Request) Request {
	if req.Cost <= 0 {
		req.Cost = 1
	}
	if int(req.Class) >= wigeonfork.NumClasses {
		req.Class = wigeonfork.ClassUnknown
	}
	return req
}

func (c *Controller) holds(id wigeonfork.RequestID) bool {
	if _, ok := c.running[id]; ok {
		return true
	}
	_, ok := c.queued[id]
	return ok
}

func (c *Controller) queueOf(class wigeonfork.Class, resume bool) *classQueue {
	if resume {
		return c.resumes[class]
	}
	return c.fresh[class]
}

func (c *Controller) workspaceWeight(w wigeonfork.Workspace) float64 {
	if weight := c.options.WorkspaceWeights[w]; weight > 0 {
		return weight
	}
	return 1
}

// mustWait tells whether queued requests go before a new one of q.
func (c *Controller) mustWait(q *classQueue) bool {
	if q.count > 0 {
		return true
	}
	if q.resume {
		return false
	}
	for class := range c.resumes {
		if c.resumes[class].count > 0 {
			return true
		}
	}
	return false
}

// limit is the part of the capacity that requests of q may fill.
func (c *Controller) limit(resume bool) float64 {
	if resume {
		return c.capacity * c.options.ResumeOvercommit
	}
	return c.capacity * (1 - c.options.Reserve)
}

func (c *Controller) canStart(q *classQueue, cost float64) bool {
	if c.capacity <= 0 {
		return false
	}
	limit := c.limit(q.resume)
	if c.used > 0 && c.used+cost > limit {
		return false
	}
	share := c.options.Policy[q.class].MaxShare
	return q.resume || q.running == 0 || q.running+cost <= limit*share
}

func (c *Controller) enqueue(now time.Time, q *classQueue, req Request) Decision {
	wait := c.expectedWait(q, req)
	if len(c.queued) >= c.options.QueueLimit && !req.Resume {
		return c.refuse(&req, ReasonQueueFull, wait)
	}
	latest, reason := c.latestStart(now, req)
	if now.Add(wait).After(latest) {
		return c.refuse(&req, reason, wait)
	}
	e := c.newEntry()
	e.request, e.latest, e.work = req, latest, c.workOf(req)
	if q.count == 0 {
		q.since = now
	}
	q.push(e, c.workspaceWeight(req.Workspace))
	heap.Push(&c.latest, e)
	c.queued[req.ID] = e
	return Decision{ID: req.ID, Action: Queue, ExpectedWait: wait}
}

// latestStart is the last time at which starting is of use, and the reason
// for a refusal after it.
func (c *Controller) latestStart(now time.Time, req Request) (time.Time, Reason) {
	bound := now.Add(c.options.Policy[req.Class].MaxWait)
	if req.Resume {
		bound = now.Add(c.options.ResumeMaxWait)
	} else if c.fresh[req.Class].overloaded(now) {
		bound = now.Add(c.options.Policy[req.Class].OverloadWait)
	}
	if req.Deadline.IsZero() {
		return bound, ReasonWait
	}
	start := req.Deadline.Add(-c.serviceOf(req))
	if start.Before(bound) {
		return start, ReasonTooLate
	}
	return bound, ReasonWait
}

func (c *Controller) serviceOf(req Request) time.Duration {
	if req.Service > 0 {
		return req.Service
	}
	if learned := c.service[req.Class]; learned > 0 {
		return learned
	}
	return minServicePrediction
}

// workOf is what a request takes of the capacity over its running time, in
// units of cost times seconds. Shares are shares of work, since a class of long
// answers takes more of the capacity than as many short ones.
func (c *Controller) workOf(req Request) float64 {
	service := c.serviceOf(req)
	if service == minServicePrediction {
		service = c.mean
	}
	return req.Cost * service.Seconds()
}

func (c *Controller) newEntry() *entry {
	if n := len(c.spare); n > 0 {
		e := c.spare[n-1]
		c.spare = c.spare[:n-1]
		return e
	}
	return new(entry)
}

func (c *Controller) drop(e *entry) {
	delete(c.queued, e.request.ID)
	heap.Remove(&c.latest, e.place)
	*e = entry{}
	if len(c.spare) < c.options.QueueLimit {
		c.spare = append(c.spare, e)
	}
}

func (c *Controller) start(now time.Time, q *classQueue, req Request) {
	c.used += req.Cost
	c.fresh[q.class].running += req.Cost
	c.running[req.ID] = running{class: q.class, resume: q.resume, cost: req.Cost, started: now}
	c.virtual = max(q.virtual, c.virtual)
	q.virtual = c.virtual + c.workOf(req)/c.weight(q)
}

// Release ends a running request, or withdraws a queued one whose caller has
// gone. It is idempotent.
func (c *Controller) Release(now time.Time, id wigeonfork.RequestID) {
	if e, ok := c.queued[id]; ok {
		e.queue.remove(e)
		c.drop(e)
		return
	}
	run, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.used = max(0, c.used-run.cost)
	c.fresh[run.class].running = max(0, c.fresh[run.class].running-run.cost)
	c.learn(run, now.Sub(run.started))
}

func (c *Controller) learn(run running, took time.Duration) {
	if took < minServicePrediction {
		took = minServicePrediction
	}
	old := c.service[run.class]
	if old == 0 {
		old = took
	}
	c.service[run.class] = old + time.Duration(serviceSampleWeight*float64(took-old))
	weight := min(1, serviceSampleWeight*run.cost)
	c.mean += time.Duration(weight * float64(took-c.mean))
}

// SetCapacity changes the capacity, for example when backend servers are lost.
// Tick then refuses what can no longer make its deadline.
func (c *Controller) SetCapacity(capacity float64) {
	c.shedNow = c.shedNow || capacity < c.capacity
	c.capacity = max(0, capacity)
}
