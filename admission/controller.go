package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// runningRequest is an admitted request that has not been released.
type runningRequest struct {
	class   wigeonfork.Class
	resume  bool
	cost    float64
	started time.Time
}

// Controller admits requests to a shared capacity.
type Controller struct {
	options            Options
	random             *rand.Rand
	capacity           float64
	newRequests        [wigeonfork.NumClasses]*classQueue
	resumes            [wigeonfork.NumClasses]*classQueue
	running            map[wigeonfork.RequestID]runningRequest
	queued             map[wigeonfork.RequestID]*queuedRequest
	startDeadlines     startDeadlineHeap
	used               float64 // cost of the running requests
	virtualTime        float64 // largest virtual time at which a class started a request
	meanService        [wigeonfork.NumClasses]time.Duration
	overallMeanService time.Duration // over all classes, weighted by cost
	shedPending        bool          // the capacity has decreased since the last shed
	lastShedAt         time.Time
	freeEntries        []*queuedRequest
	decisions          []Decision
}

// New returns a Controller without requests.
func New(options Options) *Controller {
	options = options.withDefaults()
	c := &Controller{
		options:            options,
		random:             rand.New(rand.NewPCG(options.Seed, options.Seed^0xd1b54a32d192ed03)),
		capacity:           options.Capacity,
		running:            make(map[wigeonfork.RequestID]runningRequest),
		queued:             make(map[wigeonfork.RequestID]*queuedRequest),
		overallMeanService: defaultService,
	}
	for class := range c.newRequests {
		c.newRequests[class] = newClassQueue(wigeonfork.Class(class), false)
		c.resumes[class] = newClassQueue(wigeonfork.Class(class), true)
	}
	return c
}

// Offer decides whether a request is admitted at once, queued or refused.
func (c *Controller) Offer(now time.Time, req Request) Decision {
	req = c.normalise(req)
	if c.isKnown(req.ID) {
		return Decision{ID: req.ID, Action: Refuse, Reason: ReasonDuplicate, Resume: req.Resume}
	}
	q := c.queueOf(req.Class, req.Resume)
	if c.canStart(q, req.Cost) && !c.mustQueue(q) {
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

func (c *Controller) isKnown(id wigeonfork.RequestID) bool {
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
	return c.newRequests[class]
}

func (c *Controller) workspaceWeight(w wigeonfork.Workspace) float64 {
	if weight := c.options.WorkspaceWeights[w]; weight > 0 {
		return weight
	}
	return 1
}

// mustQueue reports whether there are queued requests that must start before a
// new request of q.
func (c *Controller) mustQueue(q *classQueue) bool {
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

// limit returns the total cost of running requests up to which resumes, or new
// requests, may start.
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
	return q.resume || q.runningCost == 0 || q.runningCost+cost <= limit*share
}

func (c *Controller) enqueue(now time.Time, q *classQueue, req Request) Decision {
	wait := c.expectedWait(q, req)
	if len(c.queued) >= c.options.QueueLimit && !req.Resume {
		return c.refuse(&req, ReasonQueueFull, wait)
	}
	startDeadline, reason := c.latestStart(now, req)
	if now.Add(wait).After(startDeadline) {
		return c.refuse(&req, reason, wait)
	}
	e := c.newEntry()
	e.request, e.startDeadline, e.work = req, startDeadline, c.workOf(req)
	if q.count == 0 {
		q.queuedSince = now
	}
	q.push(e, c.workspaceWeight(req.Workspace))
	heap.Push(&c.startDeadlines, e)
	c.queued[req.ID] = e
	return Decision{ID: req.ID, Action: Queue, ExpectedWait: wait}
}

// latestStart returns the time by which a request must start and the reason for
// its refusal after that time.
func (c *Controller) latestStart(now time.Time, req Request) (time.Time, Reason) {
	bound := now.Add(c.options.Policy[req.Class].MaxWait)
	if req.Resume {
		bound = now.Add(c.options.ResumeMaxWait)
	} else if c.newRequests[req.Class].overloaded(now) {
		bound = now.Add(c.options.Policy[req.Class].OverloadWait)
	}
	if req.Deadline.IsZero() {
		return bound, ReasonWaitTooLong
	}
	start := req.Deadline.Add(-c.serviceOf(req))
	if start.Before(bound) {
		return start, ReasonTooLate
	}
	return bound, ReasonWaitTooLong
}

func (c *Controller) serviceOf(req Request) time.Duration {
	if req.Service > 0 {
		return req.Service
	}
	if learned := c.meanService[req.Class]; learned > 0 {
		return learned
	}
	return minServicePrediction
}

// workOf returns the expected work of a request: its cost times its running time
// in seconds. Fair shares are shares of work, since long answers use more
// capacity than the same number of short ones.
func (c *Controller) workOf(req Request) float64 {
	service := c.serviceOf(req)
	if service == minServicePrediction {
		service = c.overallMeanService
	}
	return req.Cost * service.Seconds()
}

func (c *Controller) newEntry() *queuedRequest {
	if n := len(c.freeEntries); n > 0 {
		e := c.freeEntries[n-1]
		c.freeEntries = c.freeEntries[:n-1]
		return e
	}
	return new(queuedRequest)
}

func (c *Controller) discard(e *queuedRequest) {
	delete(c.queued, e.request.ID)
	heap.Remove(&c.startDeadlines, e.heapIndex)
	*e = queuedRequest{}
	if len(c.freeEntries) < c.options.QueueLimit {
		c.freeEntries = append(c.freeEntries, e)
	}
}

func (c *Controller) start(now time.Time, q *classQueue, req Request) {
	c.used += req.Cost
	c.newRequests[q.class].runningCost += req.Cost
	c.running[req.ID] = runningRequest{class: q.class, resume: q.resume, cost: req.Cost, started: now}
	c.virtualTime = max(q.virtualTime, c.virtualTime)
	q.virtualTime = c.virtualTime + c.workOf(req)/c.weight(q)
}

// Release ends a running request or withdraws a queued one whose caller has left.
// It is idempotent.
func (c *Controller) Release(now time.Time, id wigeonfork.RequestID) {
	if e, ok := c.queued[id]; ok {
		e.queue.remove(e)
		c.discard(e)
		return
	}
	run, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.used = max(0, c.used-run.cost)
	c.newRequests[run.class].runningCost = max(0, c.newRequests[run.class].runningCost-run.cost)
	c.recordService(run, now.Sub(run.started))
}

func (c *Controller) recordService(run runningRequest, duration time.Duration) {
	if duration < minServicePrediction {
		duration = minServicePrediction
	}
	old := c.meanService[run.class]
	if old == 0 {
		old = duration
	}
	c.meanService[run.class] = old + time.Duration(serviceSampleWeight*float64(duration-old))
	weight := min(1, serviceSampleWeight*run.cost)
	c.overallMeanService += time.Duration(weight * float64(duration-c.overallMeanService))
}

// SetCapacity changes the capacity, for example when backend servers are lost.
// After a decrease the next Tick refuses queued requests that can no longer
// start in time.
func (c *Controller) SetCapacity(capacity float64) {
	c.shedPending = c.shedPending || capacity < c.capacity
	c.capacity = max(0, capacity)
}
