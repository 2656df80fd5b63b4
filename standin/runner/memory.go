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

// Memory is what a model runner has for its running requests.
type Memory struct {
	// Tokens is the number of tokens that fit in; 0 means that they are not counted.
	Tokens int
	// RefuseFull refuses a request that does not fit in, as not executed. Otherwise the request waits, and a more
	// urgent one preempts the newest of the least urgent.
	RefuseFull bool
}

// holding is the share of one run in a memory.
type holding struct {
	priority, sequence, tokens int
	// admitted gets a value when the run has its tokens, and preempted when it has lost them again.
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

// lost reports whether the run was preempted since the last call.
func (h *holding) lost() bool {
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

// admit gives tokens to the waiting runs, the most urgent first and the oldest of these.
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
	// A run that has not noticed that it was admitted waits on.
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

// tokensOf returns the tokens of a request's prompt and of its longest answer; 0 if it does not tell.
func tokensOf(q *http.Request) int {
	in, out, _ := strings.Cut(q.Header.Get("Wigeonfork-Token-Count"), ",")
	// A count that is missing or malformed is 0.
	prompt, _ := strconv.Atoi(strings.TrimSpace(in))
	answer, _ := strconv.Atoi(strings.TrimSpace(out))
	return prompt + answer
}
