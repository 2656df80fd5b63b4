package generation

import "time"

// inverseSmoothing is the inverse of the weight of a new sample in the mean. The weight in the
// deviation is twice as high.
const inverseSmoothing = 8

// intervalEstimate keeps a moving mean and mean deviation of the time between tokens, like the
// round-trip estimate of TCP.
type intervalEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds a sample: tokens arrived together after elapsed.
func (e *intervalEstimate) observe(elapsed time.Duration, tokens int) {
	sample := elapsed / time.Duration(max(tokens, 1))
	if e.mean == 0 {
		e.mean = sample
		e.deviation = sample / 2
		return
	}
	difference := sample - e.mean
	e.mean += difference / inverseSmoothing
	if difference < 0 {
		difference = -difference
	}
	e.deviation += (difference - e.deviation) / (inverseSmoothing / 2)
}

// hasSample reports whether a nonzero sample was observed.
func (e *intervalEstimate) hasSample() bool { return e.mean > 0 }

// meanPlusDeviation returns the sum of the mean and the mean deviation.
func (e *intervalEstimate) meanPlusDeviation() time.Duration {
	return e.mean + e.deviation
}
