package generation

import "time"

// inverseSmoothing is the inverse weight of one observation in the mean.
const inverseSmoothing = 8

// intervalEstimate follows the mean and the mean deviation of the time between
// tokens, as retransmission timers do.
type intervalEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

// observe takes the time in which some tokens arrived together.
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

// hasSample reports whether any time between tokens was observed.
func (e *intervalEstimate) hasSample() bool { return e.mean > 0 }

// meanPlusDeviation returns the mean plus its deviation.
func (e *intervalEstimate) meanPlusDeviation() time.Duration {
	return e.mean + e.deviation
}
