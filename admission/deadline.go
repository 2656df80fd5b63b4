package admission

import "time"

// minAnswerTimeFraction is the least fraction of the predicted time in which an
// answer may be complete. The prediction relies on the caller's estimate of the
// length, and the server may be faster than usual.
const minAnswerTimeFraction = 0.5

// CanMeetDeadline reports whether an answer with the predicted duration may be
// complete within the remaining time. A request for which it is false should be
// refused at once, since running it would waste capacity.
func CanMeetDeadline(remaining, predicted time.Duration) bool {
	return float64(remaining) >= minAnswerTimeFraction*float64(predicted)
}
