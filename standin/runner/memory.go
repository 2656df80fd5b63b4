package runner

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// DefaultPriority is the priority of a request that names none; 0 is the most urgent.
const DefaultPriority = 5

// Memory is the memory of a model runner for its running requests.
type Memory struct {
	// Tokens is the size of the memory in tokens; 0 means that they are not counted.
	Tokens int
	// RefuseFull is set if a request that does not fit is refused as not executed. Otherwise the request waits, and a more
	// urgent one preempts the newest of the least urgent.
	RefuseFull bool
}

// holding is what one run holds, or waits for, of a memory. A lower priority is more urgent; a lower sequence is older.
type holding struct {
	priority, sequence, tokens int
	// admitted receives a value when the run gets its tokens, and preempted when it loses them again.
	admitted, preempted chan struct{}
}

// memory counts the tokens of the running requests. The zero value counts none.
type memory struct {
	Memory
	mu       sync.Mutex
	sequence int
	used     int
	running  []*holding
	waiting  []*holding
}

// enter takes the tokens of a request, or queues it. It returns nil if the request is refused.
func (m *memory) enter(q *http.Request) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	h := &holding{
		priority: priorityOf(q), sequence: m.sequence, tokens: tokensOf(q),
		admitted: make(chan struct{}, 1), preempted: make(chan struct{}, 1),
	}
	if m.RefuseFull && m.lacks(h.tokens) {
		return nil
	}
	m.waiting = append(m.waiting, h)
	m.admit()
	return h
}

// await waits until the run has its tokens. It returns false if the request ended first.
func (h *holding) await(ctx context.Context) bool {
	select {
	case <-h.admitted:
		return true
	case <-ctx.Done():
		return false
	}
}

// wasPreempted reports whether the run was preempted since the last call.
func (h *holding) wasPreempted() bool {
	select {
	case <-h.preempted:
		return true
	default:
		return false
	}
}

// leave returns the tokens of a run that has ended.
func (m *memory) leave(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(h)
	m.waiting = slices.DeleteFunc(m.waiting, func(w *holding) bool { return w == h })
	m.admit()
}

// admit gives tokens to the waiting runs, the most urgent first and the oldest of these. It preempts less urgent runs. A
// run that needs more than the whole memory is admitted alone.
func (m *memory) admit() {
	slices.SortFunc(m.waiting, before)
	for len(m.waiting) > 0 {
		next := m.waiting[0]
		for m.lacks(next.tokens) && m.preemptBehind(next.priority) {
		}
		if m.lacks(next.tokens) && len(m.running) > 0 {
			return
		}
		m.waiting = m.waiting[1:]
		m.used += next.tokens
		m.running = append(m.running, next)
		next.admitted <- struct{}{}
	}
}

// preemptBehind preempts the newest of the least urgent runs that are less urgent than priority, if there is one.
func (m *memory) preemptBehind(priority int) bool {
	if len(m.running) == 0 {
		return false
	}
	last := slices.MaxFunc(m.running, before)
	if last.priority <= priority {
		return false
	}
	m.remove(last)
	m.waiting = append(m.waiting, last)
	// A run that has not yet received its admission continues to wait; it needs no notice of the preemption.
	select {
	case <-last.admitted:
	default:
		last.preempted <- struct{}{}
	}
	return true
}

func (m *memory) remove(h *holding) {
	if i := slices.Index(m.running, h); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
		m.used -= h.tokens
	}
}

func (m *memory) lacks(tokens int) bool { return m.Tokens > 0 && m.used+tokens > m.Tokens }

// load returns the numbers of running and waiting requests, and the tokens in use.
func (m *memory) load() (running, waiting, used int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running), len(m.waiting), m.used
}

// before orders runs by urgency, then by age.
func before(a, b *holding) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return a.sequence - b.sequence
}

func priorityOf(q *http.Request) int {
	priority, err := strconv.Atoi(q.Header.Get("Wigeonfork-Request-Priority"))
	if err != nil {
		return DefaultPriority
	}
	return priority
}

// tokensOf returns the number of tokens of a request's prompt and of its longest answer together; 0 if the request does
// not state them.
func tokensOf(q *http.Request) int {
	in, out, _ := strings.Cut(q.Header.Get("Wigeonfork-Token-Count"), ",")
	// A count that is missing or malformed is 0.
	prompt, _ := strconv.Atoi(strings.TrimSpace(in))
	answer, _ := strconv.Atoi(strings.TrimSpace(out))
	return prompt + answer
}
