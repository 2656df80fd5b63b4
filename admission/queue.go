package admission

import (
	"container/heap"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// entry is a queued request.
type entry struct {
	request Request
	// work is the capacity taken multiplied by the seconds of running.
	work float64
	// latest is the last time at which starting is of use.
	latest time.Time
	queue  *classQueue
	lane   *lane
	prev   *entry
	next   *entry
	place  int // in the deadline heap
}

// lane is the queue of one workspace in one class: a linked list, so that an
// entry can leave from the middle.
type lane struct {
	workspace wigeonfork.Workspace
	weight    float64
	virtual   float64 // virtual start time for fair sharing
	head      *entry
	tail      *entry
	work      float64
	place     int // in the class's heap
}

func (l *lane) push(e *entry) {
	e.lane, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
}

func (l *lane) remove(e *entry) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.lane = nil, nil, nil
}

// laneHeap orders the active lanes of a class by virtual time.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].workspace < h[j].workspace
}
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.place = len(*h)
	*h = append(*h, l)
}
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}

// classQueue shares the turns of one class between its workspaces.
type classQueue struct {
	class   wigeonfork.Class
	resume  bool
	virtual float64 // virtual time of the class among the classes
	now     float64 // virtual time within the class
	lanes   map[wigeonfork.Workspace]*lane
	active  laneHeap
	work    float64
	count   int
	since   time.Time // from which on requests have been queued without a break
	running float64
}

func newClassQueue(class wigeonfork.Class, resume bool) *classQueue {
	return &classQueue{class: class, resume: resume, lanes: make(map[wigeonfork.Workspace]*lane)}
}

// overloaded tells whether requests have been queued for long without a break.
func (q *classQueue) overloaded(now time.Time) bool {
	return q.count > 0 && now.Sub(q.since) >= overloadAfter
}

func (q *classQueue) lane(workspace wigeonfork.Workspace, weight float64) *lane {
	l := q.lanes[workspace]
	if l == nil {
		l = &lane{workspace: workspace, weight: weight}
		q.lanes[workspace] = l
	}
	return l
}

func (q *classQueue) push(e *entry, weight float64) {
	l := q.lane(e.request.Workspace, weight)
	if l.head == nil {
		l.virtual = max(l.virtual, q.now)
		heap.Push(&q.active, l)
	}
	l.push(e)
	l.work += e.work
	q.work += e.work
	e.queue = q
	q.count++
}

// charge moves a workspace's virtual time on by the work of a request that
// did not queue.
func (q *classQueue) charge(workspace wigeonfork.Workspace, weight, work float64) {
	l := q.lane(workspace, weight)
	q.now = max(q.now, l.virtual)
	l.virtual = q.now + work/l.weight
	if l.head != nil {
		heap.Fix(&q.active, l.place)
	}
}

func (q *classQueue) peek() *entry {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].head
}

// pop takes the entry whose workspace has the earliest virtual time.
func (q *classQueue) pop() *entry {
	l := q.active[0]
	e := l.head
	q.now = max(q.now, l.virtual)
	l.virtual += e.work / l.weight
	q.remove(e)
	if l.head != nil {
		heap.Fix(&q.active, l.place)
	}
	return e
}

// remove takes an entry out without charging its workspace.
func (q *classQueue) remove(e *entry) {
	l := e.lane
	l.remove(e)
	l.work -= e.work
	q.work -= e.work
	q.count--
	if l.head == nil {
		heap.Remove(&q.active, l.place)
		q.forget(l)
	}
}

// forget drops an idle lane that has no debt left.
func (q *classQueue) forget(l *lane) {
	if l.virtual <= q.now {
		delete(q.lanes, l.workspace)
	}
}

// sweep drops every idle lane that has no debt left.
func (q *classQueue) sweep() {
	for _, l := range q.lanes {
		if l.head == nil {
			q.forget(l)
		}
	}
}

// deadlineHeap orders all queued entries by the last useful start.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.place = len(*h)
	*h = append(*h, e)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
