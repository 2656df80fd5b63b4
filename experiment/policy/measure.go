package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	longestMicros   = int64(10 * time.Minute / time.Microsecond)
	promptPatience  = 5 * time.Second
	patientPatience = time.Minute
)

// classResult is what was measured of one class.
type classResult struct {
	offered  int
	finished int
	refused  int
	late     int
	first    *hdrhistogram.Histogram // microseconds to the first token
	gap      *hdrhistogram.Histogram // microseconds between tokens, by token
}

// result is what was measured of a run.
type result struct {
	scenario         *scenario
	classes          [wigeonfork.NumClasses]classResult
	tail             *hdrhistogram.Histogram // first tokens after scenario.tailFrom
	tailRefused      int
	resume           *hdrhistogram.Histogram // microseconds
	goodTokens       float64
	windows          []float64 // good tokens by window of the whole run
	prompts          float64   // prompt tokens of finished answers
	generated        float64   // tokens of all finished answers after the warm-up
	cachedAll        float64   // prompt tokens found in a cache
	prefilledAll     float64   // prompt tokens in all
	prefillAgain     float64   // tokens
	generatedTwice   float64   // tokens
	moves            int
	deaths           int
	held             int
	innocentsRefused int
	resumesRefused   int
	poisons          map[quarantine.Key]int // engines lost
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, 3) }

func newResult(s *scenario) *result {
	r := &result{scenario: s, resume: newHistogram(), tail: newHistogram(), poisons: make(map[quarantine.Key]int)}
	for i := range r.classes {
		r.classes[i].first, r.classes[i].gap = newHistogram(), newHistogram()
	}
	return r
}

func (r *result) counts(s *stream) bool { return s.arrived >= r.scenario.warmup && !s.poison }

func (r *result) offered(s *stream) {
	if r.counts(s) {
		r.classes[s.class].offered++
	}
}

func (r *result) refused(s *stream, d admission.Decision) {
	if d.Resume {
		r.resumesRefused++
	}
	if r.counts(s) {
		r.classes[s.class].refused++
		if r.inTail(s) {
			r.tailRefused++
		}
	}
}

func (r *result) first(s *stream) {
	if r.counts(s) {
		record(r.classes[s.class].first, s.firstAt-s.arrived, 1)
		if r.inTail(s) {
			record(r.tail, s.firstAt-s.arrived, 1)
		}
	}
}

func (r *result) inTail(s *stream) bool {
	return r.scenario.tailFrom > 0 && s.arrived >= r.scenario.tailFrom
}

func record(h *hdrhistogram.Histogram, d time.Duration, n int64) {
	micros := min(max(1, d.Microseconds()), longestMicros)
	// The value is within the histogram's range.
	_ = h.RecordValues(micros, n)
}

func (r *result) resumed(s *stream, took time.Duration) {
	if r.counts(s) {
		record(r.resume, took, 1)
	}
}

func (r *result) prefilled(s *stream, fresh int) {
	if r.counts(s) {
		r.cachedAll += float64(s.cached)
		r.prefilledAll += float64(fresh + s.cached)
	}
	if s.interrupts > 0 && s.arrived >= r.scenario.warmup {
		r.prefillAgain += float64(fresh)
		r.generatedTwice++
	}
}

func (r *result) patience(class wigeonfork.Class) time.Duration {
	for _, c := range r.scenario.deployment.prompt {
		if c == class {
			return promptPatience
		}
	}
	return patientPatience
}

func (r *result) finished(now time.Duration, s *stream) {
	good := (s.deadline == 0 || now <= s.deadline) && s.firstAt-s.arrived <= r.patience(s.class)
	if good && r.scenario.window > 0 {
		i := int(now / r.scenario.window)
		for len(r.windows) <= i {
			r.windows = append(r.windows, 0)
		}
		r.windows[i] += s.wanted
	}
	if now >= r.scenario.warmup {
		r.generated += s.wanted
		if good {
			r.goodTokens += s.wanted
		}
	}
	if !r.counts(s) {
		return
	}
	c := &r.classes[s.class]
	c.finished++
	if !good {
		c.late++
	}
	r.prompts += float64(s.prompt)
	if s.wanted > 1 {
		record(c.gap, time.Duration(float64(now-s.firstAt)/(s.wanted-1)), int64(s.wanted-1))
	}
}

// extra is the part of the work that was done again.
func (r *result) extra() float64 {
	useful := r.goodTokens + r.prompts
	if useful == 0 {
		return 0
	}
	return (r.prefillAgain + r.generatedTwice) / useful
}

// merge adds the figures of another run that the recovery's table shows.
func (r *result) merge(other *result) {
	r.resume.Merge(other.resume)
	r.goodTokens += other.goodTokens
	r.prompts += other.prompts
	r.prefillAgain += other.prefillAgain
	r.generatedTwice += other.generatedTwice
	r.moves += other.moves
	r.deaths += other.deaths
	r.resumesRefused += other.resumesRefused
	r.innocentsRefused += other.innocentsRefused
	for i := range r.classes {
		r.classes[i].offered += other.classes[i].offered
		r.classes[i].refused += other.classes[i].refused
	}
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// all merges a histogram of every class.
func (r *result) all(pick func(*classResult) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newHistogram()
	for i := range r.classes {
		sum.Merge(pick(&r.classes[i]))
	}
	return sum
}

func firsts(c *classResult) *hdrhistogram.Histogram { return c.first }
func gaps(c *classResult) *hdrhistogram.Histogram   { return c.gap }
