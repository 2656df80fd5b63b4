package admission

import (
	"container/heap"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// queuedRequest is a queued request.
type queuedRequest struct {
	request Request
	// work is the capacity taken multiplied by the seconds of running.
	work float64
	// startDeadline is the last time at which starting is of use.
	startDeadline  time.Time
	queue          *classQueue
	workspaceQueue *workspaceQueue
	prev           *queuedRequest
	next           *queuedRequest
	heapIndex      int // in the deadline heap
}

// workspaceQueue is the queue of one workspace in one class: a linked list, so that an
// entry can leave from the middle.
type workspaceQueue struct {
	workspace    wigeonfork.Workspace
	weight       float64
	virtualStart float64 // virtual start time for fair sharing
	head         *queuedRequest
	tail         *queuedRequest
	work         float64
	heapIndex    int // in the class's heap
}

func (l *workspaceQueue) push(e *queuedRequest) {
	e.workspaceQueue, e.prev, e.next = l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
}

func (l *workspaceQueue) remove(e *queuedRequest) {
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
	e.prev, e.next, e.workspaceQueue = nil, nil, nil
}

// workspaceHeap orders the active lanes of a class by virtual time.
type workspaceHeap []*workspaceQueue

func (h workspaceHeap) Len() int { return len(h) }
func (h workspaceHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].workspace < h[j].workspace
}
func (h workspaceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *workspaceHeap) Push(x any) {
	l := x.(*workspaceQueue)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}
func (h *workspaceHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}

// classQueue shares the turns of one class between its workspaces.
type classQueue struct {
	class          wigeonfork.Class
	resume         bool
	virtualTime    float64 // virtual time of the class among the classes
	currentVirtual float64 // virtual time within the class
	workspaces     map[wigeonfork.Workspace]*workspaceQueue
	active         workspaceHeap
	work           float64
	count          int
	queuedSince    time.Time // from which on requests have been queued without a break
	runningCost    float64
}

func newClassQueue(class wigeonfork.Class, resume bool) *classQueue {
	return &classQueue{class: class, resume: resume, workspaces: make(map[wigeonfork.Workspace]*workspaceQueue)}
}

// overloaded tells whether requests have been queued for long without a break.
func (q *classQueue) overloaded(now time.Time) bool {
	return q.count > 0 && now.Sub(q.queuedSince) >= overloadAfter
}

func (q *classQueue) workspace(workspace wigeonfork.Workspace, weight float64) *workspaceQueue {
	l := q.workspaces[workspace]
	if l == nil {
		l = &workspaceQueue{workspace: workspace, weight: weight}
		q.workspaces[workspace] = l
	}
	return l
}

func (q *classQueue) push(e *queuedRequest, weight float64) {
	l := q.workspace(e.request.Workspace, weight)
	if l.head == nil {
		l.virtualStart = max(l.virtualStart, q.currentVirtual)
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
	l := q.workspace(workspace, weight)
	q.currentVirtual = max(q.currentVirtual, l.virtualStart)
	l.virtualStart = q.currentVirtual + work/l.weight
	if l.head != nil {
		heap.Fix(&q.active, l.heapIndex)
	}
}

func (q *classQueue) peek() *queuedRequest {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].head
}

// pop takes the entry whose workspace has the earliest virtual time.
func (q *classQueue) pop() *queuedRequest {
	l := q.active[0]
	e := l.head
	q.currentVirtual = max(q.currentVirtual, l.virtualStart)
	l.virtualStart += e.work / l.weight
	q.remove(e)
	if l.head != nil {
		heap.Fix(&q.active, l.heapIndex)
	}
	return e
}

// remove takes an entry out without charging its workspace.
func (q *classQueue) remove(e *queuedRequest) {
	l := e.workspaceQueue
	l.remove(e)
	l.work -= e.work
	q.work -= e.work
	q.count--
	if l.head == nil {
		heap.Remove(&q.active, l.heapIndex)
		q.dropIfIdle(l)
	}
}

// dropIfIdle drops an idle lane that has no debt left.
func (q *classQueue) dropIfIdle(l *workspaceQueue) {
	if l.virtualStart <= q.currentVirtual {
		delete(q.workspaces, l.workspace)
	}
}

// dropIdle drops every idle lane that has no debt left.
func (q *classQueue) dropIdle() {
	for _, l := range q.workspaces {
		if l.head == nil {
			q.dropIfIdle(l)
		}
	}
}

// startDeadlineHeap orders all queued entries by the last useful start.
type startDeadlineHeap []*queuedRequest

func (h startDeadlineHeap) Len() int           { return len(h) }
func (h startDeadlineHeap) Less(i, j int) bool { return h[i].startDeadline.Before(h[j].startDeadline) }
func (h startDeadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *startDeadlineHeap) Push(x any) {
	e := x.(*queuedRequest)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *startDeadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
