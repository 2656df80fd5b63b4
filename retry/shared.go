package retry

import "time"

// sharedSlots is the number of parts that a window is counted in.
const sharedSlots = 10

// counter counts what fell into a sliding window.
type counter struct {
	width time.Duration
	slots [sharedSlots + 1]float64
	at    int64 // the newest part
}

func (c *counter) advance(now time.Time) {
	part := now.UnixNano() / int64(c.width)
	for steps := min(part-c.at, int64(len(c.slots))); steps > 0; steps-- {
		c.slots[(part-steps+1)%int64(len(c.slots))] = 0
	}
	c.at = max(c.at, part)
}

func (c *counter) add(now time.Time, n float64) {
	c.advance(now)
	c.slots[c.at%int64(len(c.slots))] += n
}

func (c *counter) sum(now time.Time) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.slots {
		total += n
	}
	return total
}

// Shared is the budget of a service that several processes send to: in each
// window the repeated sends stay below Ratio times the requests plus Slack. It is
// told of the requests and repeats of all processes as far as they are heard.
type Shared struct {
	ratio    float64
	slack    float64
	requests counter
	repeats  counter
}

// NewShared returns a budget over window.
func NewShared(ratio, slack float64, window time.Duration) *Shared {
	width := window / sharedSlots
	return &Shared{ratio: ratio, slack: slack, requests: counter{width: width}, repeats: counter{width: width}}
}

// Asked records a request.
func (s *Shared) Asked(now time.Time) { s.requests.add(now, 1) }

// Repeated records a repeated send that this process did not ask for, as one of
// another process.
func (s *Shared) Repeated(now time.Time) { s.repeats.add(now, 1) }

// Take asks for one repeated send and records it if it is allowed. heard is the
// part of all processes whose requests and repeats are told; the slack of the
// others is left to them.
func (s *Shared) Take(now time.Time, heard float64) bool {
	if s.repeats.sum(now)+1 > s.ratio*s.requests.sum(now)+s.slack*heard {
		return false
	}
	s.repeats.add(now, 1)
	return true
}
