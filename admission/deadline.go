package admission

import "time"

// minAnswerTimeFraction is the part of a predicted time that an answer takes at least:
// its length is a guess of the caller's, and the pace may be better than usual.
const minAnswerTimeFraction = 0.5

// CanMeetDeadline tells whether a request whose answer is predicted to need some time may
// still be whole when remaining has passed. One that can't is better refused at
// once than run in vain.
func CanMeetDeadline(remaining, predicted time.Duration) bool {
	return float64(remaining) >= minAnswerTimeFraction*float64(predicted)
}
