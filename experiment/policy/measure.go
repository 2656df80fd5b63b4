package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	maxMicros                  = int64(10 * time.Minute / time.Microsecond)
	interactiveFirstTokenLimit = 5 * time.Second
	batchFirstTokenLimit       = time.Minute
)

// classResult holds the measurements of one class. offered counts a request once more for
// each time that it was sent again after a refusal.
type classResult struct {
	offered    int
	finished   int
	refused    int
	late       int
	firstToken *hdrhistogram.Histogram // microseconds to the first token
	gap        *hdrhistogram.Histogram // microseconds between tokens, one sample a token
}

// result holds the measurements of a run. Tokens are good if their answer meets its
// deadline and the first-token limit of its class.
type result struct {
	scenario         *scenario
	classes          [wigeonfork.NumClasses]classResult
	tail             *hdrhistogram.Histogram // microseconds to the first token, for arrivals since scenario.tailFrom
	tailRefused      int
	resume           *hdrhistogram.Histogram // microseconds
	goodTokens       float64
	windows          []float64 // good tokens by window, with the warm-up
	promptTokens     float64   // prompt tokens of finished answers
	generated        float64   // tokens of all finished answers after the warm-up
	cachedTokens     float64   // prompt tokens found in a cache
	prefillTokens    float64   // tokens found in a cache or prefilled
	repeatedPrefill  float64   // tokens
	repeatedDecode   float64   // tokens
	reassigned       int
	deaths           int
	held             int
	innocentsRefused int
	resumesRefused   int
	poisons          map[quarantine.Key]int // engines lost to each poison request
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }

func newResult(s *scenario) *result {
	r := &result{scenario: s, resume: newHistogram(), tail: newHistogram(), poisons: make(map[quarantine.Key]int)}
	for i := range r.classes {
		r.classes[i].firstToken, r.classes[i].gap = newHistogram(), newHistogram()
	}
	return r
}

func (r *result) isMeasured(s *stream) bool { return s.arrived >= r.scenario.warmup && !s.poison }

func (r *result) offered(s *stream) {
	if r.isMeasured(s) {
		r.classes[s.class].offered++
	}
}

func (r *result) refused(s *stream, d admission.Decision) {
	if d.Resume {
		r.resumesRefused++
	}
	if r.isMeasured(s) {
		r.classes[s.class].refused++
		if r.inTail(s) {
			r.tailRefused++
		}
	}
}

func (r *result) first(s *stream) {
	if r.isMeasured(s) {
		record(r.classes[s.class].firstToken, s.firstTokenAt-s.arrived, 1)
		if r.inTail(s) {
			record(r.tail, s.firstTokenAt-s.arrived, 1)
		}
	}
}

func (r *result) inTail(s *stream) bool {
	return r.scenario.tailFrom > 0 && s.arrived >= r.scenario.tailFrom
}

func record(h *hdrhistogram.Histogram, d time.Duration, n int64) {
	micros := min(max(1, d.Microseconds()), maxMicros)
	// The value is within the histogram's range.
	_ = h.RecordValues(micros, n)
}

func (r *result) resumed(s *stream, took time.Duration) {
	if r.isMeasured(s) {
		record(r.resume, took, 1)
	}
}

func (r *result) prefilled(s *stream, uncached int) {
	if r.isMeasured(s) {
		r.cachedTokens += float64(s.cachedTokens)
		r.prefillTokens += float64(uncached + s.cachedTokens)
	}
	if s.interruptions > 0 && s.arrived >= r.scenario.warmup {
		r.repeatedPrefill += float64(uncached)
		r.repeatedDecode++
	}
}

func (r *result) firstTokenLimit(class wigeonfork.Class) time.Duration {
	for _, c := range r.scenario.deployment.interactive {
		if c == class {
			return interactiveFirstTokenLimit
		}
	}
	return batchFirstTokenLimit
}

func (r *result) finished(now time.Duration, s *stream) {
	good := (s.deadline == 0 || now <= s.deadline) && s.firstTokenAt-s.arrived <= r.firstTokenLimit(s.class)
	if good && r.scenario.window > 0 {
		i := int(now / r.scenario.window)
		for len(r.windows) <= i {
			r.windows = append(r.windows, 0)
		}
		r.windows[i] += s.answerTokens
	}
	if now >= r.scenario.warmup {
		r.generated += s.answerTokens
		if good {
			r.goodTokens += s.answerTokens
		}
	}
	if !r.isMeasured(s) {
		return
	}
	c := &r.classes[s.class]
	c.finished++
	if !good {
		c.late++
	}
	r.promptTokens += float64(s.promptTokens)
	if s.answerTokens > 1 {
		record(c.gap, time.Duration(float64(now-s.firstTokenAt)/(s.answerTokens-1)), int64(s.answerTokens-1))
	}
}

// extraWork returns the repeated tokens as a fraction of the useful tokens.
func (r *result) extraWork() float64 {
	useful := r.goodTokens + r.promptTokens
	if useful == 0 {
		return 0
	}
	return (r.repeatedPrefill + r.repeatedDecode) / useful
}

// merge adds the measurements of another run that the recovery table shows.
func (r *result) merge(other *result) {
	r.resume.Merge(other.resume)
	r.goodTokens += other.goodTokens
	r.promptTokens += other.promptTokens
	r.repeatedPrefill += other.repeatedPrefill
	r.repeatedDecode += other.repeatedDecode
	r.reassigned += other.reassigned
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

// mergeClasses merges one histogram of every class.
func (r *result) mergeClasses(pick func(*classResult) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newHistogram()
	for i := range r.classes {
		sum.Merge(pick(&r.classes[i]))
	}
	return sum
}

func firstTokens(c *classResult) *hdrhistogram.Histogram { return c.firstToken }
func gaps(c *classResult) *hdrhistogram.Histogram        { return c.gap }
