package runner

import (
	"net/http"
	"sync"
	"time"
)

// Run is one request that a runner started to execute.
type Run struct {
	RequestID string
	RunnerID  string
	// ArrivedAt is when the request had arrived, and BeganAt when the runner began to answer it.
	ArrivedAt time.Time
	BeganAt   time.Time
	Path      string
	Body      string
	Header    http.Header
	// LastEventID is the last event that the caller already has; 0 means none.
	LastEventID uint64
	// FromCopy states whether the run continued from a copy of a KV cache. Cached is the id of the request that the cache
	// belongs to, which the runner does not compare with that of the run.
	FromCopy bool
	Cached   string
	// Finished is set if the runner completed the run. Cancelled is set if the caller disconnected
	// or the runner was killed first. Neither is set while the run is in progress or if the Crash
	// fault ended it.
	Finished, Cancelled bool
	// Failed is set if a plain run was answered with status 500.
	Failed bool
}

// SharedState is the state shared by the runners of a deployment: the log of all runs and the
// stored copies of their KV caches.
type SharedState struct {
	mu   sync.Mutex
	runs []*Run
	// arrivals holds the times at which each runner got a request, also one that it refused.
	arrivals map[string][]time.Time
	// notices holds the times at which each runner said in a response that it leaves or wants a pause.
	notices map[string][]time.Time
	copies  map[string]string // request id by address/handle
	moves   map[string]string // destination by request id
	orders  map[string]int    // orders to copy that were answered, by request id
	stalled int               // orders to copy that were left unanswered
	// missingCopies counts the requests for a copy that is not stored.
	missingCopies int
}

// NewSharedState returns a SharedState without runs or copies.
func NewSharedState() *SharedState {
	return &SharedState{
		copies: make(map[string]string), moves: make(map[string]string), orders: make(map[string]int),
		arrivals: make(map[string][]time.Time), notices: make(map[string][]time.Time),
	}
}

// Runs returns the runs with a request id, or all runs if request is empty.
func (s *SharedState) Runs(request string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Run
	for _, run := range s.runs {
		if request == "" || run.RequestID == request {
			list = append(list, *run)
		}
	}
	return list
}

func (s *SharedState) recordArrival(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id] = append(s.arrivals[id], time.Now())
}

func (s *SharedState) recordNotice(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices[id] = append(s.notices[id], time.Now())
}

// Notices returns the times at which a runner said in a response that it leaves or wants a pause, oldest first.
func (s *SharedState) Notices(id string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.notices[id]...)
}

// Arrivals returns the times at which a runner got a request, oldest first.
func (s *SharedState) Arrivals(id string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals[id]...)
}

func (s *SharedState) beginRun(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.BeganAt = time.Now()
	s.runs = append(s.runs, run)
}

func (s *SharedState) endRun(run *Run, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Finished, run.Cancelled = !cancelled, cancelled
}

func (s *SharedState) failRun(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Failed = true
}

// storeCopy stores a copy of the KV cache of a request's run.
func (s *SharedState) storeCopy(place, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[place] = request
}

// freeCopy deletes a copy.
func (s *SharedState) freeCopy(place string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, place)
}

func (s *SharedState) recordMove(request, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moves[request] = to
	s.orders[request]++
}

// MoveOrders returns the number of answered orders to copy the KV cache of a request's run.
func (s *SharedState) MoveOrders(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[request]
}

// MovedTo returns the address to which the gateway last asked to copy the KV cache of a request's run; empty if it did
// not ask.
func (s *SharedState) MovedTo(request string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moves[request]
}

// takeCopy deletes a copy and returns the id of the request that it belongs to, and false if there is none.
func (s *SharedState) takeCopy(place string) (request string, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, stored = s.copies[place]
	delete(s.copies, place)
	if !stored {
		s.missingCopies++
	}
	return request, stored
}

// MissingCopies returns the number of requests for a copy that was not stored.
func (s *SharedState) MissingCopies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missingCopies
}

func (s *SharedState) recordStalledMove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled++
}

// StalledMoves returns the number of orders to copy a run's memory that were left unanswered.
func (s *SharedState) StalledMoves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}
