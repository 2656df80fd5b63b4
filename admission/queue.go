package admission

import (
	"container/heap"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// queuedRequest is a request in a workspaceQueue and in the startDeadlineHeap.
type queuedRequest struct {
	request Request
	// work is the cost times the expected running time in seconds.
	work float64
	// startDeadline is the time by which the request must start.
	startDeadline  time.Time
	queue          *classQueue
	workspaceQueue *workspaceQueue
	prev           *queuedRequest
	next           *queuedRequest
	heapIndex      int // in the startDeadlineHeap
}

// workspaceQueue is the queue of one workspace in one class. It is a linked list,
// so that requests can be removed from the middle.
type workspaceQueue struct {
	workspace    wigeonfork.Workspace
	weight       float64
	virtualStart float64 // virtual start time of the next request, for fair sharing
	head         *queuedRequest
	tail         *queuedRequest
	work         float64 // of the queued requests
	heapIndex    int     // in the workspaceHeap of the class
}

func (w *workspaceQueue) push(e *queuedRequest) {
	e.workspaceQueue, e.prev, e.next = w, w.tail, nil
	if w.tail == nil {
		w.head = e
	} else {
		w.tail.next = e
	}
	w.tail = e
}

func (w *workspaceQueue) remove(e *queuedRequest) {
	if e.prev == nil {
		w.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		w.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.workspaceQueue = nil, nil, nil
}

// workspaceHeap orders the non-empty workspace queues of a class by virtualStart.
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
	w := x.(*workspaceQueue)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}
func (h *workspaceHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// classQueue queues the requests of one class, with fair queueing between its
// workspaces.
type classQueue struct {
	class              wigeonfork.Class
	resume             bool
	virtualTime        float64 // virtual time of the class among the classes
	currentVirtualTime float64 // virtual time within the class
	workspaces         map[wigeonfork.Workspace]*workspaceQueue
	active             workspaceHeap
	work               float64   // of the queued requests
	count              int       // queued requests
	queuedSince        time.Time // start of the current period with queued requests
	runningCost        float64   // of the class, with resumes; unused in a resume queue
}

func newClassQueue(class wigeonfork.Class, resume bool) *classQueue {
	return &classQueue{class: class, resume: resume, workspaces: make(map[wigeonfork.Workspace]*workspaceQueue)}
}

// overloaded reports whether there have been queued requests continuously for
// overloadAfter.
func (q *classQueue) overloaded(now time.Time) bool {
	return q.count > 0 && now.Sub(q.queuedSince) >= overloadAfter
}

func (q *classQueue) workspace(workspace wigeonfork.Workspace, weight float64) *workspaceQueue {
	w := q.workspaces[workspace]
	if w == nil {
		w = &workspaceQueue{workspace: workspace, weight: weight}
		q.workspaces[workspace] = w
	}
	return w
}

func (q *classQueue) push(e *queuedRequest, weight float64) {
	w := q.workspace(e.request.Workspace, weight)
	if w.head == nil {
		w.virtualStart = max(w.virtualStart, q.currentVirtualTime)
		heap.Push(&q.active, w)
	}
	w.push(e)
	w.work += e.work
	q.work += e.work
	e.queue = q
	q.count++
}

// charge advances a workspace's virtual time by the work of a request that was
// admitted without queueing.
func (q *classQueue) charge(workspace wigeonfork.Workspace, weight, work float64) {
	w := q.workspace(workspace, weight)
	q.currentVirtualTime = max(q.currentVirtualTime, w.virtualStart)
	w.virtualStart = q.currentVirtualTime + work/w.weight
	if w.head != nil {
		heap.Fix(&q.active, w.heapIndex)
	}
}

func (q *classQueue) peek() *queuedRequest {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].head
}

// pop removes and returns the first request of the workspace with the earliest
// virtualStart.
func (q *classQueue) pop() *queuedRequest {
	w := q.active[0]
	e := w.head
	q.currentVirtualTime = max(q.currentVirtualTime, w.virtualStart)
	w.virtualStart += e.work / w.weight
	q.remove(e)
	if w.head != nil {
		heap.Fix(&q.active, w.heapIndex)
	}
	return e
}

// remove removes a request without charging its workspace.
func (q *classQueue) remove(e *queuedRequest) {
	w := e.workspaceQueue
	w.remove(e)
	w.work -= e.work
	q.work -= e.work
	q.count--
	if w.head == nil {
		heap.Remove(&q.active, w.heapIndex)
		q.dropIfIdle(w)
	}
}

// dropIfIdle drops an empty workspace queue whose virtualStart has been reached.
// A later virtualStart is kept, since it charges the workspace for earlier work.
func (q *classQueue) dropIfIdle(w *workspaceQueue) {
	if w.virtualStart <= q.currentVirtualTime {
		delete(q.workspaces, w.workspace)
	}
}

// dropIdle applies dropIfIdle to all empty workspace queues.
func (q *classQueue) dropIdle() {
	for _, w := range q.workspaces {
		if w.head == nil {
			q.dropIfIdle(w)
		}
	}
}

// startDeadlineHeap orders all queued requests by their start deadline.
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
