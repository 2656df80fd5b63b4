package admission

import "time"

// minAnswerTimeFraction is the least fraction of the predicted time that an
// answer may take. Its length is the caller's estimate, and the server may be
// faster than usual.
const minAnswerTimeFraction = 0.5

// CanMeetDeadline reports whether an answer with the predicted duration may be
// complete within the remaining time. Other requests are refused at once, since
// running them would waste capacity.
func CanMeetDeadline(remaining, predicted time.Duration) bool {
	return float64(remaining) >= minAnswerTimeFraction*float64(predicted)
}
