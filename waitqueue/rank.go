package waitqueue

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wigeonfork/wigeonfork"
)

// sortedRanks returns the ranks that wait, the most urgent first.
func (q *Queue) sortedRanks() []wigeonfork.Rank {
	return slices.Sorted(maps.Keys(q.ranks))
}

// rankQueue holds the waiting requests of one rank. Resumed ones go first. The workspaces of the others take turns: the
// one with the least position goes next, and each turn adds one to its position. A workspace that joins gets the least
// position and goes after the others with it, so that a single request which rejoins after each turn does not go before a
// backlog.
type rankQueue struct {
	resumed    []*Ticket
	workspaces []*workspaceQueue
	size       int
}

// workspaceQueue holds the waiting requests of one workspace. Its callers take turns in the same way.
type workspaceQueue struct {
	workspace wigeonfork.Workspace
	callers   []*callerQueue
	size      int
	position  uint64
}

// at returns the position, the number by which turns are ordered.
func (w *workspaceQueue) at() uint64 { return w.position }

// callerQueue holds the waiting requests of one caller, the next one first.
type callerQueue struct {
	caller   string
	tickets  []*Ticket
	position uint64
}

func (c *callerQueue) at() uint64 { return c.position }

// leastPosition returns the position of the queue that goes next, or 0 if there is none.
func leastPosition[Q interface{ at() uint64 }](queues []Q) uint64 {
	if len(queues) == 0 {
		return 0
	}
	least := queues[0].at()
	for _, q := range queues[1:] {
		least = min(least, q.at())
	}
	return least
}

func (r *rankQueue) find(workspace wigeonfork.Workspace) *workspaceQueue {
	for _, w := range r.workspaces {
		if w.workspace == workspace {
			return w
		}
	}
	return nil
}

func (w *workspaceQueue) find(caller string) *callerQueue {
	for _, c := range w.callers {
		if c.caller == caller {
			return c
		}
	}
	return nil
}

func (r *rankQueue) add(t *Ticket) {
	r.size++
	if t.Resume {
		r.resumed = append(r.resumed, t)
		return
	}
	w := r.find(t.Workspace)
	if w == nil {
		w = &workspaceQueue{workspace: t.Workspace, position: leastPosition(r.workspaces)}
		r.workspaces = append(r.workspaces, w)
	}
	c := w.find(t.Caller)
	if c == nil {
		c = &callerQueue{caller: t.Caller, position: leastPosition(w.callers)}
		w.callers = append(w.callers, c)
	}
	c.tickets = append(c.tickets, t)
	w.size++
}

// next returns the ticket whose turn it is in the rank.
func (r *rankQueue) next() *Ticket {
	if len(r.resumed) > 0 {
		return r.resumed[0]
	}
	w := slices.MinFunc(r.workspaces, func(a, b *workspaceQueue) int { return cmp.Compare(a.position, b.position) })
	c := slices.MinFunc(w.callers, func(a, b *callerQueue) int { return cmp.Compare(a.position, b.position) })
	return c.tickets[0]
}

// served adds a turn to the positions of the ticket's workspace and caller.
func (r *rankQueue) served(t *Ticket) {
	w := r.find(t.Workspace)
	if w == nil || t.Resume {
		return
	}
	w.position++
	if c := w.find(t.Caller); c != nil {
		c.position++
	}
}

// remove removes a ticket and reports whether it was there.
func (r *rankQueue) remove(t *Ticket) bool {
	before := r.size
	if t.Resume {
		r.resumed = slices.DeleteFunc(r.resumed, func(other *Ticket) bool { return other == t })
		r.size = len(r.resumed) + r.fresh()
		return r.size < before
	}
	w := r.find(t.Workspace)
	if w == nil || !w.remove(t) {
		return false
	}
	r.size--
	if w.size == 0 {
		r.workspaces = slices.DeleteFunc(r.workspaces, func(other *workspaceQueue) bool { return other == w })
	}
	return true
}

// fresh returns the number of waiting requests that aren't resumed.
func (r *rankQueue) fresh() int {
	n := 0
	for _, w := range r.workspaces {
		n += w.size
	}
	return n
}

func (w *workspaceQueue) remove(t *Ticket) bool {
	c := w.find(t.Caller)
	if c == nil {
		return false
	}
	at := slices.Index(c.tickets, t)
	if at < 0 {
		return false
	}
	c.tickets = slices.Delete(c.tickets, at, at+1)
	w.size--
	if len(c.tickets) == 0 {
		w.callers = slices.DeleteFunc(w.callers, func(other *callerQueue) bool { return other == c })
	}
	return true
}

// aheadOfNew returns the number of waiting requests of the rank that go before one that joins.
func (r *rankQueue) aheadOfNew(request *Request) int {
	if request.Resume {
		return len(r.resumed)
	}
	nth := 1
	if w := r.find(request.Workspace); w != nil {
		nth += w.size
	}
	return r.aheadOfNth(request.Workspace, nth)
}

// aheadOf returns the number of waiting requests of the rank that go before a waiting one.
func (r *rankQueue) aheadOf(t *Ticket) int {
	if t.Resume {
		return slices.Index(r.resumed, t)
	}
	return r.aheadOfNth(t.Workspace, r.find(t.Workspace).place(t))
}

// aheadOfNth returns the number of requests that go before the nth one of a workspace, as workspaces take turns.
func (r *rankQueue) aheadOfNth(workspace wigeonfork.Workspace, nth int) int {
	ahead := len(r.resumed) + nth - 1
	for _, w := range r.workspaces {
		if w.workspace != workspace {
			ahead += min(w.size, nth)
		}
	}
	return ahead
}

// place returns the place of a ticket among those of the workspace, from 1 on, as callers take turns.
func (w *workspaceQueue) place(t *Ticket) int {
	own := w.find(t.Caller)
	nth := slices.Index(own.tickets, t) + 1
	place := nth
	for _, c := range w.callers {
		if c != own {
			place += min(len(c.tickets), nth)
		}
	}
	return place
}

// newestFirst returns the tickets of the rank, the newest first and resumed ones last.
func (r *rankQueue) newestFirst() []*Ticket {
	fresh := make([]*Ticket, 0, r.size)
	for _, w := range r.workspaces {
		for _, c := range w.callers {
			fresh = append(fresh, c.tickets...)
		}
	}
	slices.SortFunc(fresh, func(a, b *Ticket) int { return cmp.Compare(b.order, a.order) })
	resumed := slices.Clone(r.resumed)
	slices.Reverse(resumed)
	return append(fresh, resumed...)
}
