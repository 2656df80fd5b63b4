package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of Samples.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Samples holds durations with microsecond resolution.
type Samples struct {
	histogram *hdrhistogram.Histogram
}

// NewSamples returns an empty set.
func NewSamples() *Samples {
	return &Samples{hdrhistogram.New(1, maxMicros, significantDigits)}
}

// Add adds a duration. It is clamped to the range from 1 microsecond to 10 minutes.
func (s *Samples) Add(d time.Duration) {
	// The value is clamped to the range, so recording cannot fail.
	_ = s.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Count returns the number of durations.
func (s *Samples) Count() int64 { return s.histogram.TotalCount() }

// Millis returns a percentile, from 0 to 100, in milliseconds.
func (s *Samples) Millis(percentile float64) float64 {
	return float64(s.histogram.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

// Merge adds all durations of other.
func (s *Samples) Merge(other *Samples) { s.histogram.Merge(other.histogram) }
