package retry

import "time"

const (
	// windowSlots is the number of slots that a window is divided into.
	windowSlots = 10
	// spareFraction is the fraction of the retries allowed in a window that TakeSpare leaves, and minSpare the
	// least number.
	spareFraction = 0.05
	minSpare      = 1
)

// windowCounter counts events in a sliding window.
type windowCounter struct {
	slotWidth time.Duration
	slots     [windowSlots + 1]float64 // one more than the window, since the newest is partial
	newest    int64                    // number of the newest slot
	// epoch is the time from which slots are numbered, epochAge before the first use. It is not a
	// fixed time of day, so that the difference to a time is that of the monotonic clock.
	epoch time.Time
}

// epochAge keeps the numbers of slots positive.
const epochAge = time.Hour

func (c *windowCounter) advance(now time.Time) {
	if c.epoch.IsZero() {
		c.epoch = now.Add(-epochAge)
	}
	slot := int64(now.Sub(c.epoch) / c.slotWidth)
	for steps := min(slot-c.newest, int64(len(c.slots))); steps > 0; steps-- {
		c.slots[(slot-steps+1)%int64(len(c.slots))] = 0
	}
	c.newest = max(c.newest, slot)
}

func (c *windowCounter) add(now time.Time, n float64) {
	c.advance(now)
	c.slots[c.newest%int64(len(c.slots))] += n
}

// setWidth replaces the width of the slots. What was counted in an old slot moves to the new slot of
// its end, so that it is counted for no less than the new window.
func (c *windowCounter) setWidth(now time.Time, width time.Duration) {
	if width == c.slotWidth {
		return
	}
	c.advance(now)
	changed := windowCounter{slotWidth: width, epoch: c.epoch}
	for age := int64(len(c.slots)) - 1; age >= 0; age-- {
		slot := c.newest - age
		end := c.epoch.Add(time.Duration(slot+1)*c.slotWidth - 1)
		if end.After(now) {
			end = now
		}
		changed.add(end, c.slots[(slot+int64(len(c.slots)))%int64(len(c.slots))])
	}
	*c = changed
}

func (c *windowCounter) sum(now time.Time) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.slots {
		total += n
	}
	return total
}

// SharedBudget is the retry budget of a service that several processes send to.
// In each window the retries do not exceed ratio times the requests plus slack.
// The requests and retries that other processes report are included.
type SharedBudget struct {
	ratio    float64
	slack    float64
	requests windowCounter
	retries  windowCounter
}

// NewSharedBudget returns a budget with a sliding window. ratio is in retries per
// request and slack in retries per window.
func NewSharedBudget(ratio, slack float64, window time.Duration) *SharedBudget {
	width := window / windowSlots
	return &SharedBudget{ratio: ratio, slack: slack, requests: windowCounter{slotWidth: width}, retries: windowCounter{slotWidth: width}}
}

// SetLimits replaces the limits and the window, as in NewSharedBudget. What was counted is kept, but
// not for longer than the former window.
func (s *SharedBudget) SetLimits(now time.Time, ratio, slack float64, window time.Duration) {
	s.ratio, s.slack = ratio, slack
	s.requests.setWidth(now, window/windowSlots)
	s.retries.setWidth(now, window/windowSlots)
}

// RecordRequest records a request of this process or a peer.
func (s *SharedBudget) RecordRequest(now time.Time) { s.requests.add(now, 1) }

// RecordPeerRetry records a retry that did not go through Take, such as one of
// another process.
func (s *SharedBudget) RecordPeerRetry(now time.Time) { s.retries.add(now, 1) }

// Take decides on one retry and records it if it is allowed. reportedFraction is
// the fraction of the processes, including this one, that report their requests
// and retries. Only this fraction of the slack is used; the rest is left to the
// processes that do not report.
func (s *SharedBudget) Take(now time.Time, reportedFraction float64) bool {
	return s.takeLeaving(now, s.allowed(now, reportedFraction), 0)
}

// TakeSpare is Take for a retry that can be done without. It leaves some retries for those that can't, such as
// the repeat of a request whose retry was refused.
func (s *SharedBudget) TakeSpare(now time.Time, reportedFraction float64) bool {
	allowed := s.allowed(now, reportedFraction)
	return s.takeLeaving(now, allowed, max(minSpare, spareFraction*allowed))
}

// allowed returns the number of retries that the present window allows.
func (s *SharedBudget) allowed(now time.Time, reportedFraction float64) float64 {
	return s.ratio*s.requests.sum(now) + s.slack*reportedFraction
}

// takeLeaving records a retry if spare more would be allowed.
func (s *SharedBudget) takeLeaving(now time.Time, allowed, spare float64) bool {
	if s.retries.sum(now)+1+spare > allowed {
		return false
	}
	s.retries.add(now, 1)
	return true
}
