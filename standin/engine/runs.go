package engine

import (
	"sync"

	"github.com/wigeonfork/wigeonfork"
)

// maxRuns bounds the log of a Server; the oldest half is dropped.
const maxRuns = 1 << 17

// RunEnd tells how a run ended.
type RunEnd string

// The ends of a run. A run under way has RunOpen.
const (
	RunOpen      RunEnd = ""
	RunFinished  RunEnd = "finished"
	RunFailed    RunEnd = "failed"
	RunCancelled RunEnd = "cancelled"
	RunKilled    RunEnd = "killed"
)

// Run is what an engine did for one accepted request. It generated the
// positions from From up to, but without, Until.
type Run struct {
	StreamID    string
	Incarnation string
	Model       wigeonfork.Model
	Version     wigeonfork.Version
	Adapter     string
	Workspace   wigeonfork.Workspace
	From        wigeonfork.Position
	Until       wigeonfork.Position
	// Start numbers the runs in the order in which they got a slot, from 1 on;
	// it is 0 for one that never did.
	Start int
	End   RunEnd
}

// runLog records runs. It has its own lock, which is the innermost.
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

func (l *runLog) generated(run *Run, until int) {
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

// Runs returns what ran, over all incarnations, in the order of acceptance.
func (s *Server) Runs() []Run {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	runs := make([]Run, len(s.log.runs))
	for i, run := range s.log.runs {
		runs[i] = *run
	}
	return runs
}

// MaxConcurrency returns the highest number of streams that ran at once.
func (s *Server) MaxConcurrency() int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.log.maxConcurrency
}

// RunsEnded returns how many runs had the given end.
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
