package engine

import (
	"sync"

	"github.com/wigeonfork/wigeonfork"
)

// maxRuns is the capacity of a run log. When it is full, the oldest half is dropped.
const maxRuns = 1 << 17

// RunEnd states how a run ended.
type RunEnd string

// The ends of a run. A run in progress has RunOpen.
const (
	RunOpen      RunEnd = ""
	RunFinished  RunEnd = "finished"
	RunFailed    RunEnd = "failed"
	RunCancelled RunEnd = "cancelled"
	RunKilled    RunEnd = "killed"
)

// Run records what an engine did for one request. Requests that it refused have no run, except
// those refused because of a fault. The run generated the positions from From up to, but not
// including, Until.
type Run struct {
	StreamID    string
	Incarnation string
	Model       wigeonfork.Model
	Version     wigeonfork.Version
	Adapter     string
	Workspace   wigeonfork.Workspace
	From        wigeonfork.Position
	Until       wigeonfork.Position
	// Start numbers the runs from 1 in the order in which they got a slot; 0 means that the run
	// has not got one.
	Start int
	End   RunEnd
}

// runLog records runs. Its lock is taken after all others.
type runLog struct {
	mu             sync.Mutex
	runs           []*Run
	startCount     int
	maxConcurrency int
	endCounts      map[RunEnd]int
	tokens         uint64
}

func (l *runLog) open(run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxRuns {
		l.runs = append([]*Run(nil), l.runs[maxRuns/2:]...)
	}
	r := &run
	l.runs = append(l.runs, r)
	return r
}

func (l *runLog) start(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startCount++
	run.Start = l.startCount
}

func (l *runLog) recordTokens(run *Run, until int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens += uint64(until) - uint64(run.Until)
	run.Until = wigeonfork.Position(until)
}

func (l *runLog) close(run *Run, end RunEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.End != RunOpen {
		return
	}
	run.End = end
	if l.endCounts == nil {
		l.endCounts = make(map[RunEnd]int)
	}
	l.endCounts[end]++
}

func (l *runLog) recordConcurrency(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConcurrency = max(l.maxConcurrency, n)
}

// Runs returns the newest runs of all incarnations, at most 131072, in the order in which their
// requests arrived.
func (s *Server) Runs() []Run {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	runs := make([]Run, len(s.log.runs))
	for i, run := range s.log.runs {
		runs[i] = *run
	}
	return runs
}

// MaxConcurrency returns the highest number of streams that ran at the same time.
func (s *Server) MaxConcurrency() int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.log.maxConcurrency
}

// RunsEnded returns the number of runs with the given end.
func (s *Server) RunsEnded(end RunEnd) int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.log.endCounts[end]
}

// TokensGenerated returns the number of tokens generated over all runs.
func (s *Server) TokensGenerated() uint64 {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.log.tokens
}
