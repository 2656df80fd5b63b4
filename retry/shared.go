package retry

import "time"

// windowSlots is the number of parts that a window is counted in.
const windowSlots = 10

// windowCounter counts what fell into a sliding window.
type windowCounter struct {
	slotWidth time.Duration
	slots     [windowSlots + 1]float64
	newest    int64 // the newest part
}

func (c *windowCounter) advance(now time.Time) {
	slot := now.UnixNano() / int64(c.slotWidth)
	for steps := min(slot-c.newest, int64(len(c.slots))); steps > 0; steps-- {
		c.slots[(slot-steps+1)%int64(len(c.slots))] = 0
	}
	c.newest = max(c.newest, slot)
}

func (c *windowCounter) add(now time.Time, n float64) {
	c.advance(now)
	c.slots[c.newest%int64(len(c.slots))] += n
}

func (c *windowCounter) sum(now time.Time) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.slots {
		total += n
	}
	return total
}

// SharedBudget is the budget of a service that several processes send to: in each
// window the repeated sends stay below Ratio times the requests plus Slack. It is
// told of the requests and repeats of all processes as far as they are heard.
type SharedBudget struct {
	ratio    float64
	slack    float64
	requests windowCounter
	retries  windowCounter
}

// NewSharedBudget returns a budget over window.
func NewSharedBudget(ratio, slack float64, window time.Duration) *SharedBudget {
	width := window / windowSlots
	return &SharedBudget{ratio: ratio, slack: slack, requests: windowCounter{slotWidth: width}, retries: windowCounter{slotWidth: width}}
}

// RecordRequest records a request.
func (s *SharedBudget) RecordRequest(now time.Time) { s.requests.add(now, 1) }

// RecordPeerRetry records a repeated send that this process did not ask for, as one of
// another process.
func (s *SharedBudget) RecordPeerRetry(now time.Time) { s.retries.add(now, 1) }

// Take asks for one repeated send and records it if it is allowed. heard is the
// part of all processes whose requests and repeats are told; the slack of the
// others is left to them.
func (s *SharedBudget) Take(now time.Time, reportedFraction float64) bool {
	if s.retries.sum(now)+1 > s.ratio*s.requests.sum(now)+s.slack*reportedFraction {
		return false
	}
	s.retries.add(now, 1)
	return true
}
